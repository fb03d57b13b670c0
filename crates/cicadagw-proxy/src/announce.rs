//! Handles the announcements and deregistrations of local backend servers.

use bytes::{Bytes, BytesMut};
use cicadagw_dialect::{Acknowledgement, DecodeError, Registration};
use cicadagw_http::server::Reply;
use cicadagw_http::{Body, Request};
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
        Ok(Registration::Announce(announcement)) => {
            let renew = Span::new(node.timing.renewal.get() / RENEWALS_PER_TIMEOUT);
            into_reply(match node.announce(&announcement) {
                Ok(()) => dialect.acknowledge(renew),
                // The only error is `Gone`.
                Err(_) => dialect.refuse_gone(&announcement.endpoint),
            })
        }
        Ok(Registration::Deregister {
            endpoint,
            started_ms,
        }) => into_reply(dialect.acknowledge_end(node.deregister(&endpoint, started_ms))),
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
