//! The product's own dialect, specified in `docs/PROTOCOL.md`.

use bytes::Bytes;
use cicadagw_call::Load;
use cicadagw_call::lifecycle::{Announcement, Order};
use cicadagw_finding::Findings;
use cicadagw_jsonc::{Object, Reader};
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;

use crate::{Acknowledgement, DecodeError, Dialect, HeaderNames, Registration};

/// The product's own dialect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

/// The body of a response to an announcement.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
enum Reply {
    /// The time after which the next announcement is expected.
    RenewMs(Span),
    /// The endpoint is gone and its id cannot be used again.
    Gone(id::Endpoint),
}

impl Dialect for Native {
    fn header_names(&self) -> &HeaderNames {
        &HeaderNames {
            account: Some("x-cicadagw-account"),
            attempt: None,
            caller: None,
            deadline: "x-cicadagw-deadline-ms",
            endpoint: None,
            hops: Some("x-cicadagw-hops"),
            key: Some("x-cicadagw-key"),
            leaving: Some("backend-leaving"),
            limit: Some("backend-limit"),
            load: None,
            not_run: None,
            seal: None,
        }
    }

    fn is_readiness_path(&self, path: &str) -> bool {
        path == "/ready"
    }

    fn retry_after(&self, wait: Span) -> String {
        // RFC 9110 allows whole seconds only, so the wait is rounded up.
        wait.get().div_ceil(1_000).to_string()
    }

    fn parse_load(&self, _: &str) -> Option<Load> {
        None
    }

    fn decode_registration(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Registration, DecodeError> {
        match method {
            "POST" if path == "/announce" => parse_announcement(&String::from_utf8_lossy(body))
                .map(Registration::Announce)
                .map_err(DecodeError::Malformed),
            "DELETE" => path
                .strip_prefix("/announce/")
                .and_then(|endpoint| endpoint.parse().ok())
                .map(|endpoint| Registration::Deregister {
                    endpoint,
                    started_ms: None,
                })
                .ok_or(DecodeError::NotFound),
            _ => Err(DecodeError::NotFound),
        }
    }

    fn acknowledge(&self, renew: Span) -> Acknowledgement {
        acknowledgement(200, &Reply::RenewMs(renew))
    }

    fn refuse_gone(&self, endpoint: &id::Endpoint) -> Acknowledgement {
        acknowledgement(410, &Reply::Gone(endpoint.clone()))
    }

    fn acknowledge_end(&self, was_known: bool) -> Acknowledgement {
        Acknowledgement {
            status: if was_known { 204 } else { 404 },
            body: Bytes::new(),
        }
    }
}

/// Returns a response with `reply` as its body.
fn acknowledgement(status: u16, reply: &Reply) -> Acknowledgement {
    let body = serde_json::to_vec(reply).expect("a reply serializes to JSON");
    Acknowledgement {
        status,
        body: body.into(),
    }
}

/// Parses the body of an announcement.
fn parse_announcement(text: &str) -> Result<Announcement, Findings> {
    cicadagw_jsonc::read("announcement", text, |document| {
        let table = document.object()?;
        let address = table.required("address").and_then(|value| value.parse());
        let connections = table
            .required("connections")
            .and_then(|value| parse_slots(&value, 1));
        let endpoint = table.required("endpoint").and_then(|value| value.parse());
        let service = table.required("service").and_then(|value| value.parse());
        let slots = table
            .required("slots")
            .and_then(|value| parse_slots(&value, 1));
        let is_draining = table
            .required("state")
            .and_then(|value| parse_state(&value));
        let release = table.get("release").and_then(|value| value.parse());
        let in_flight = table.get("load").and_then(|value| parse_in_flight(&value));
        table.finish();
        Some(Announcement {
            address: address?,
            connections: connections?,
            endpoint: endpoint?,
            in_flight: in_flight.unwrap_or_default(),
            is_draining: is_draining?,
            order: Order::default(),
            release,
            service: service?,
            slots: slots?,
            warm_up: Span::new(0),
        })
    })
}

/// Parses the load of a backend server, which holds the number of calls in flight.
fn parse_in_flight(value: &Reader<'_, '_>) -> Option<Slots> {
    let table: Object<'_, '_> = value.object()?;
    let in_flight = table
        .required("in_flight")
        .and_then(|value| parse_slots(&value, 0));
    table.finish();
    in_flight
}

/// Parses a number from `min` to [`Slots::MAX`].
fn parse_slots(value: &Reader<'_, '_>, min: u64) -> Option<Slots> {
    let number = value.number(min, u64::from(Slots::MAX.get()))?;
    u32::try_from(number).ok().map(Slots::new)
}

/// Parses the state of a backend server; returns whether it drains.
fn parse_state(value: &Reader<'_, '_>) -> Option<bool> {
    match value.string()? {
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
