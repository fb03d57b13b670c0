//! Announcements of backend servers.

use actix_web::http::Method;
use actix_web::{HttpRequest, HttpResponse, web};
use cicadagw_call::life::Announcement;
use cicadagw_finding::Findings;
use cicadagw_jsonc::{Reader, Table};
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;
use futures_util::StreamExt;

use crate::node::Node;

/// The largest announcement, in bytes.
const SIZE_MAX: usize = 4 << 10;

/// How many slots or connections a backend server may announce.
const SLOTS_MAX: u64 = 100_000;

/// How many renewals go into the time after which a silent backend server counts as gone.
const RENEWALS: u64 = 3;

/// What a backend server is told.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
enum Reply {
    /// When to announce again.
    RenewMs(Span),
    /// What is wrong with the announcement.
    Findings(Findings),
    /// The id was used before.
    Gone(id::Endpoint),
}

/// Takes a request on the announcements' listener.
pub(crate) async fn handle(
    node: &Node,
    request: &HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let path = request.path();
    match *request.method() {
        Method::POST if path == "/announce" => announce(node, payload).await,
        Method::DELETE => match path.strip_prefix("/announce/") {
            Some(endpoint) => end(node, endpoint),
            None => HttpResponse::NotFound().finish(),
        },
        _ => HttpResponse::NotFound().finish(),
    }
}

async fn announce(node: &Node, mut payload: web::Payload) -> HttpResponse {
    let mut bytes = Vec::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return HttpResponse::BadRequest().finish();
        };
        bytes.extend_from_slice(&chunk);
        if bytes.len() > SIZE_MAX {
            return HttpResponse::PayloadTooLarge().finish();
        }
    }
    let said = match read(&String::from_utf8_lossy(&bytes)) {
        Ok(said) => said,
        Err(findings) => return HttpResponse::BadRequest().json(Reply::Findings(findings)),
    };
    let renew = Span::new(node.timing.renewal.get() / RENEWALS);
    match node.announce(&said) {
        Ok(()) => HttpResponse::Ok().json(Reply::RenewMs(renew)),
        Err(_) => HttpResponse::Gone().json(Reply::Gone(said.endpoint)),
    }
}

fn end(node: &Node, endpoint: &str) -> HttpResponse {
    match endpoint.parse() {
        Ok(endpoint) if node.end(&endpoint) => HttpResponse::NoContent().finish(),
        _ => HttpResponse::NotFound().finish(),
    }
}

/// Reads an announcement.
fn read(text: &str) -> Result<Announcement, Findings> {
    cicadagw_jsonc::read("announcement", text, |document| {
        let table = document.table()?;
        let address = table.need("address").and_then(|value| value.parsed());
        let connections = table.need("connections").and_then(|value| slots(&value, 1));
        let endpoint = table.need("endpoint").and_then(|value| value.parsed());
        let service = table.need("service").and_then(|value| value.parsed());
        let slots = table.need("slots").and_then(|value| slots(&value, 1));
        let is_draining = table.need("state").and_then(|value| is_draining(&value));
        let in_flight = table.get("load").and_then(|value| in_flight(&value));
        table.finish();
        Some(Announcement {
            address: address?,
            connections: connections?,
            endpoint: endpoint?,
            in_flight: in_flight.unwrap_or_default(),
            is_draining: is_draining?,
            service: service?,
            slots: slots?,
        })
    })
}

fn in_flight(value: &Reader<'_, '_>) -> Option<Slots> {
    let table: Table<'_, '_> = value.table()?;
    let in_flight = table.need("in_flight").and_then(|value| slots(&value, 0));
    table.finish();
    in_flight
}

fn slots(value: &Reader<'_, '_>, low: u64) -> Option<Slots> {
    let number = value.number(low, SLOTS_MAX)?;
    u32::try_from(number).ok().map(Slots::new)
}

fn is_draining(value: &Reader<'_, '_>) -> Option<bool> {
    match value.text()? {
        "ready" => Some(false),
        "draining" => Some(true),
        other => {
            value.report_with_help(
                format!("`{other}` is not known"),
                "known here: draining, ready",
            );
            None
        }
    }
}
