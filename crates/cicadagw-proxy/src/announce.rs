//! Announcements of backend servers.

use bytes::{Bytes, BytesMut};
use cicadagw_dialect::{Acknowledgement, DecodeError, Registration};
use cicadagw_http::server::Reply;
use cicadagw_http::{Body, Request};
use cicadagw_unit::time::Span;
use serde_json::json;

use crate::node::Node;

/// The largest announcement, in bytes.
const SIZE_MAX: usize = 4 << 10;

/// How many renewals go into the time after which a silent backend server counts as gone.
const RENEWALS: u64 = 3;

/// Takes a request on the announcements' listener.
pub(crate) async fn handle(node: &Node, head: &Request, body: Body) -> Reply {
    let body = match read(body).await {
        Ok(body) => body,
        Err(status) => return Reply::new(status),
    };
    let method = std::str::from_utf8(&head.method).unwrap_or_default();
    let path = std::str::from_utf8(&head.target).unwrap_or_default();
    let dialect = &node.dialect;
    match dialect.decode_registration(method, path, &body) {
        Ok(Registration::Announce(said)) => {
            let renew = Span::new(node.timing.renewal.get() / RENEWALS);
            acknowledge(match node.announce(&said) {
                Ok(()) => dialect.acknowledge(renew),
                Err(_) => dialect.refuse_gone(&said.endpoint),
            })
        }
        Ok(Registration::Deregister(endpoint)) => {
            acknowledge(dialect.acknowledge_end(node.end(&endpoint)))
        }
        Err(DecodeError::NotFound) => Reply::new(404),
        Err(DecodeError::Malformed(findings)) => {
            log::warn!(findings:%; "an announcement cannot be read and names no endpoint");
            let body = json!({ "findings": findings }).to_string();
            acknowledge(Acknowledgement {
                status: 400,
                body: body.into(),
            })
        }
    }
}

async fn read(body: Body) -> Result<Bytes, u16> {
    let mut parts = match body {
        Body::Empty => return Ok(Bytes::new()),
        Body::Buffered(bytes) if bytes.len() > SIZE_MAX => return Err(413),
        Body::Buffered(bytes) => return Ok(bytes),
        Body::Streamed { parts, .. } => parts,
    };
    let mut whole = BytesMut::new();
    loop {
        match parts.next().await {
            Ok(Some(part)) => whole.extend_from_slice(&part),
            Ok(None) => return Ok(whole.freeze()),
            Err(_) => return Err(400),
        }
        if whole.len() > SIZE_MAX {
            return Err(413);
        }
    }
}

fn acknowledge(acknowledgement: Acknowledgement) -> Reply {
    let mut reply = Reply::new(acknowledgement.status);
    if acknowledgement.status == 204 {
        reply.body = Body::Empty;
        return reply;
    }
    reply.fields.set("content-type", "application/json");
    reply.body = Body::Buffered(acknowledgement.body);
    reply
}
