//! Serialization of message heads and chunk size lines.

use bytes::{BufMut, BytesMut};

use crate::{Fields, Framing};

/// The space reserved for the start line, without the request target, and for the fields that this
/// module adds, in bytes.
const HEAD_OVERHEAD_BYTES: usize = 160;

/// The length of a field besides its name and value: a colon, a space and CRLF, in bytes.
const FIELD_OVERHEAD_BYTES: usize = 4;

/// The space reserved for a chunk size line: up to 16 hexadecimal digits and CRLF, in bytes.
const CHUNK_SIZE_LINE_BYTES: usize = 20;

/// Serializes the head of a request. `fields` must hold only end-to-end fields; the framing fields
/// are added here.
pub fn request_head(method: &[u8], target: &[u8], fields: &Fields, framing: Framing) -> BytesMut {
    let capacity = HEAD_OVERHEAD_BYTES
        + target.len()
        + fields.size()
        + FIELD_OVERHEAD_BYTES * fields.iter().count();
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
    let capacity =
        HEAD_OVERHEAD_BYTES + fields.size() + FIELD_OVERHEAD_BYTES * fields.iter().count();
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
pub(crate) fn chunk_size_line(length: usize) -> BytesMut {
    let mut line = BytesMut::with_capacity(CHUNK_SIZE_LINE_BYTES);
    line.put_slice(format!("{length:x}\r\n").as_bytes());
    line
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
