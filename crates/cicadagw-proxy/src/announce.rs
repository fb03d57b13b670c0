//! Handles the announcements and deregistrations of local backend servers.

use bytes::{Bytes, BytesMut};
use cicadagw_call::lifecycle::Gone;
use cicadagw_dialect::{Acknowledgement, DecodeError, Registration};
use cicadagw_http::server::Reply;
use cicadagw_http::{Body, Request};
use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use serde_json::json;

use crate::node::Node;

/// The maximum size of the body of an announcement or deregistration, in bytes.
const ANNOUNCEMENT_BYTES_MAX: usize = 4 << 10;

/// How many times a backend server renews its announcement within the renewal timeout, after which
/// it is considered gone.
const RENEWALS_PER_TIMEOUT: u64 = 3;

/// Handles a request on the listener for announcements and deregistrations.
pub(crate) async fn handle(node: &Node, head: &Request, body: Body) -> Reply {
    let body = match read(body).await {
        Ok(body) => body,
        Err(status) => return Reply::new(status),
    };
    let method = std::str::from_utf8(&head.method).unwrap_or_default();
    let path = std::str::from_utf8(&head.target).unwrap_or_default();
    let dialect = &node.dialect;
    match dialect.decode_registration(method, path, &body) {
        Ok(Registration::Announce(announcement)) if node.is_foreign(&announcement) => {
            log::warn!(endpoint:% = announcement.endpoint, service:% = announcement.service, next = "it is ignored"; "an announcement names another service than that of this host");
            let error = "the service is not that of this host";
            into_reply(Acknowledgement {
                status: 400,
                body: json!({ "error": error }).to_string().into(),
            })
        }
        Ok(Registration::Announce(announcement)) => {
            let renew = Span::new(node.timing.renewal.get() / RENEWALS_PER_TIMEOUT);
            let endpoint = &announcement.endpoint;
            match node.announce(&announcement) {
                Ok(()) if announcement.is_draining => {
                    acknowledge_departure(node, endpoint, dialect.acknowledge(renew)).await
                }
                Ok(()) => into_reply(dialect.acknowledge(renew)),
                // A backend server that is gone may repeat an earlier request to leave.
                Err(Gone) => {
                    acknowledge_departure(node, endpoint, dialect.refuse_gone(endpoint)).await
                }
            }
        }
        Ok(Registration::Deregister {
            endpoint,
            started_ms,
        }) => {
            let was_known = node.deregister(&endpoint, started_ms);
            let acknowledgement = dialect.acknowledge_end(was_known);
            acknowledge_departure(node, &endpoint, acknowledgement).await
        }
        Err(DecodeError::NotFound) => Reply::new(404),
        Err(DecodeError::Malformed(findings)) => {
            log::warn!(findings:%; "rejected an invalid announcement");
            let body = json!({ "findings": findings }).to_string();
            into_reply(Acknowledgement {
                status: 400,
                body: body.into(),
            })
        }
    }
}

/// Acknowledges the departure of a backend server once the platform has stored it. Otherwise the
/// backend server gets no acknowledgement, and may repeat its request; it gets no more calls either
/// way.
async fn acknowledge_departure(
    node: &Node,
    endpoint: &id::Endpoint,
    acknowledgement: Acknowledgement,
) -> Reply {
    let is_stored = node.departed.wait_until_stored(endpoint).await;
    node.stats.count_departure(is_stored);
    if is_stored {
        return into_reply(acknowledgement);
    }
    log::warn!(endpoint:%, next = "the backend server may repeat its request"; "did not acknowledge a departure that the platform has not stored in time");
    let body = json!({ "error": "the platform has not stored the departure in time" }).to_string();
    into_reply(Acknowledgement {
        status: 503,
        body: body.into(),
    })
}

/// Reads the body of a request; fails with the status code of the response.
async fn read(body: Body) -> Result<Bytes, u16> {
    let mut parts = match body {
        Body::Empty => return Ok(Bytes::new()),
        Body::Buffered(bytes) if bytes.len() > ANNOUNCEMENT_BYTES_MAX => return Err(413),
        Body::Buffered(bytes) => return Ok(bytes),
        Body::Streamed { parts, .. } => parts,
    };
    let mut collected = BytesMut::new();
    loop {
        match parts.next().await {
            Ok(Some(part)) => collected.extend_from_slice(&part),
            Ok(None) => return Ok(collected.freeze()),
            Err(_) => return Err(400),
        }
        if collected.len() > ANNOUNCEMENT_BYTES_MAX {
            return Err(413);
        }
    }
}

/// Converts the dialect's response to the HTTP reply.
fn into_reply(acknowledgement: Acknowledgement) -> Reply {
    let mut reply = Reply::new(acknowledgement.status);
    if acknowledgement.status == 204 {
        reply.body = Body::Empty;
        return reply;
    }
    reply.fields.set("content-type", "application/json");
    reply.body = Body::Buffered(acknowledgement.body);
    reply
}
