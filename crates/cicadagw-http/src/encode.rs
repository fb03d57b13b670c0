//! Serialization of message heads and chunk headers.

use bytes::{BufMut, BytesMut};

use crate::{Fields, Framing};

/// The space reserved for the start line and the fields that this module adds, in bytes.
const START_LINE_CAPACITY: usize = 160;

/// Serializes the head of a request. `fields` must hold only end-to-end fields; the framing fields
/// are added here.
pub fn request_head(method: &[u8], target: &[u8], fields: &Fields, framing: Framing) -> BytesMut {
    let capacity = START_LINE_CAPACITY + target.len() + fields.size() + 4 * fields.iter().count();
    let mut head = BytesMut::with_capacity(capacity);
    head.put_slice(method);
    head.put_u8(b' ');
    head.put_slice(target);
    head.put_slice(b" HTTP/1.1\r\n");
    write_fields(&mut head, fields, framing);
    head
}

/// Serializes the head of a response. `fields` must hold only end-to-end fields; the framing fields
/// are added here.
pub(crate) fn response_head(
    status: u16,
    fields: &Fields,
    framing: Framing,
    close: bool,
) -> BytesMut {
    let capacity = START_LINE_CAPACITY + fields.size() + 4 * fields.iter().count();
    let mut head = BytesMut::with_capacity(capacity);
    head.put_slice(b"HTTP/1.1 ");
    write_number(&mut head, u64::from(status));
    head.put_u8(b' ');
    head.put_slice(reason_phrase(status).as_bytes());
    head.put_slice(b"\r\n");
    if close {
        head.put_slice(b"connection: close\r\n");
    }
    write_fields(&mut head, fields, framing);
    head
}

/// Serializes the size line of a chunk.
pub(crate) fn chunk_head(length: usize) -> BytesMut {
    let mut head = BytesMut::with_capacity(20);
    head.put_slice(format!("{length:x}\r\n").as_bytes());
    head
}

fn write_fields(head: &mut BytesMut, fields: &Fields, framing: Framing) {
    for field in fields.iter() {
        head.put_slice(&field.name);
        head.put_slice(b": ");
        head.put_slice(&field.value);
        head.put_slice(b"\r\n");
    }
    match framing {
        Framing::Length(length) => {
            head.put_slice(b"content-length: ");
            write_number(head, length);
            head.put_slice(b"\r\n");
        }
        Framing::Chunked => head.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::Close | Framing::Empty => {}
    }
    head.put_slice(b"\r\n");
}

fn write_number(head: &mut BytesMut, number: u64) {
    head.put_slice(number.to_string().as_bytes());
}

/// Returns the reason phrase of `status`; it is empty for an unregistered status, as RFC 9112
/// allows.
fn reason_phrase(status: u16) -> &'static str {
    actix_web::http::StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("")
}
