//! Writing of messages.

use bytes::{BufMut, BytesMut};

use crate::{Fields, Framing};

/// Room for the first line and what this module adds, in bytes.
const LINE_ROOM: usize = 160;

/// Writes the head of a request; the fields must be those that go on, without the framing.
pub fn request_head(method: &[u8], target: &[u8], fields: &Fields, framing: Framing) -> BytesMut {
    let room = LINE_ROOM + target.len() + fields.size() + 4 * fields.iter().count();
    let mut head = BytesMut::with_capacity(room);
    head.put_slice(method);
    head.put_u8(b' ');
    head.put_slice(target);
    head.put_slice(b" HTTP/1.1\r\n");
    finish(&mut head, fields, framing);
    head
}

/// Writes the head of a response.
pub(crate) fn response_head(
    status: u16,
    fields: &Fields,
    framing: Framing,
    close: bool,
) -> BytesMut {
    let room = LINE_ROOM + fields.size() + 4 * fields.iter().count();
    let mut head = BytesMut::with_capacity(room);
    head.put_slice(b"HTTP/1.1 ");
    number(&mut head, u64::from(status));
    head.put_u8(b' ');
    head.put_slice(reason(status).as_bytes());
    head.put_slice(b"\r\n");
    if close {
        head.put_slice(b"connection: close\r\n");
    }
    finish(&mut head, fields, framing);
    head
}

/// Writes the line before a chunk.
pub(crate) fn chunk_head(length: usize) -> BytesMut {
    let mut head = BytesMut::with_capacity(20);
    head.put_slice(format!("{length:x}\r\n").as_bytes());
    head
}

fn finish(head: &mut BytesMut, fields: &Fields, framing: Framing) {
    for field in fields.iter() {
        head.put_slice(&field.name);
        head.put_slice(b": ");
        head.put_slice(&field.value);
        head.put_slice(b"\r\n");
    }
    match framing {
        Framing::Length(length) => {
            head.put_slice(b"content-length: ");
            number(head, length);
            head.put_slice(b"\r\n");
        }
        Framing::Chunked => head.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::Close | Framing::Empty => {}
    }
    head.put_slice(b"\r\n");
}

fn number(head: &mut BytesMut, number: u64) {
    head.put_slice(number.to_string().as_bytes());
}

/// Returns the phrase of `status`; empty for one that is not registered, as RFC 9112 allows.
fn reason(status: u16) -> &'static str {
    actix_web::http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("")
}
