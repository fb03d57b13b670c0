//! Parsing of request and response heads.

use std::fmt;

use bytes::{Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Header, Status};
use smallvec::SmallVec;

use crate::{Field, Fields, Framing};

/// The maximum number of header fields of a message.
const FIELDS_MAX: usize = 128;

/// The lowest status code. The first digit of a status code is its class, and there is no class 0.
const STATUS_MIN: u16 = 100;

/// The head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The header fields.
    pub fields: Fields,
    /// How the length of the body is determined.
    pub framing: Framing,
    /// Whether the connection persists after this message.
    pub keep_alive: bool,
    /// The method.
    pub method: Bytes,
    /// The request target: path and query, as received.
    pub target: Bytes,
    /// Whether the request uses HTTP/1.0.
    pub is_http_1_0: bool,
}

/// The head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// The header fields.
    pub fields: Fields,
    /// How the length of the body is determined.
    pub framing: Framing,
    /// Whether the connection persists after this message.
    pub keep_alive: bool,
    /// The status code.
    pub status: u16,
}

/// The reason why a message cannot be parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The message is not valid HTTP/1.1, or the length of its body is ambiguous.
    Malformed,
    /// The message head is larger than the limit, or has too many fields.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the message is not valid HTTP/1.1 or its body length is ambiguous",
            Self::TooLarge => "the message head has too many bytes or header fields",
        })
    }
}

impl std::error::Error for Error {}

/// The byte ranges of the field names and values within a head: name start and end, value start and
/// end.
type FieldRanges = SmallVec<[(usize, usize, usize, usize); 16]>;

/// Removes a request head from the front of `bytes`; returns `None` while the head is incomplete. A
/// head of more than `size_max` bytes is an error.
///
/// # Errors
///
/// Returns an error when `bytes` does not start with a valid request head, the length of the body
/// is ambiguous, or the head is too large.
pub fn request(bytes: &mut BytesMut, size_max: usize) -> Result<Option<Request>, Error> {
    let mut headers = [EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(Status::Complete(length)) if length <= size_max => length,
        Ok(Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Error::TooLarge);
        }
        Ok(Status::Partial) if bytes.len() <= size_max => return Ok(None),
        Ok(Status::Partial) => return Err(Error::TooLarge),
        Err(_) => return Err(Error::Malformed),
    };
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(Error::Malformed);
    };
    let method = byte_range(bytes, method.as_bytes());
    let target = byte_range(bytes, target.as_bytes());
    let field_ranges = field_ranges(bytes, parsed.headers);
    let raw = bytes.split_to(length).freeze();
    let fields = fields(&raw, &field_ranges);
    let is_http_1_0 = version == 0;
    Ok(Some(Request {
        framing: request_framing(&fields, is_http_1_0)?,
        keep_alive: keeps_alive(&fields, is_http_1_0),
        fields,
        method: raw.slice(method.0..method.1),
        target: raw.slice(target.0..target.1),
        is_http_1_0,
    }))
}

/// Removes the head of the response to a request with `method` from the front of `bytes`; returns
/// `None` while the head is incomplete.
///
/// # Errors
///
/// Returns an error when `bytes` does not start with a valid response head, the status code is below
/// 100, only some lines end with a carriage return, the head is larger than `size_max` bytes, or the
/// length of the body is ambiguous: lengths differ, or a coding is not known or not allowed.
pub fn response(
    bytes: &mut BytesMut,
    method: &[u8],
    size_max: usize,
) -> Result<Option<Response>, Error> {
    let mut headers = [EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(Status::Complete(length)) if length <= size_max => length,
        Ok(Status::Complete(_)) | Err(httparse::Error::TooManyHeaders) => {
            return Err(Error::TooLarge);
        }
        Ok(Status::Partial) if bytes.len() <= size_max => return Ok(None),
        Ok(Status::Partial) => return Err(Error::TooLarge),
        Err(_) => return Err(Error::Malformed),
    };
    let (Some(status @ STATUS_MIN..), Some(version)) = (parsed.code, parsed.version) else {
        return Err(Error::Malformed);
    };
    let field_ranges = field_ranges(bytes, parsed.headers);
    let raw = bytes.split_to(length).freeze();
    if !has_uniform_line_ends(&raw) {
        return Err(Error::Malformed);
    }
    let fields = fields(&raw, &field_ranges);
    let framing = response_framing(&fields, method, status)?;
    // A sender of HTTP/1.0 may not know the coding, so the length is ambiguous.
    if version == 0 && framing == Framing::Chunked {
        return Err(Error::Malformed);
    }
    Ok(Some(Response {
        keep_alive: keeps_alive(&fields, version == 0) && framing != Framing::Close,
        fields,
        framing,
        status,
    }))
}

/// Returns whether either all lines of `head` end with CRLF, or all with a single line feed. Among
/// lines that end with CRLF, a single line feed is a byte within a line, and the parser would end the
/// line or the whole head there.
fn has_uniform_line_ends(head: &[u8]) -> bool {
    let line_feeds = (0..head.len()).filter(|&index| head[index] == b'\n');
    let mut follows_return = line_feeds.map(|index| index > 0 && head[index - 1] == b'\r');
    let first = follows_return.next();
    follows_return.all(|follows| Some(follows) == first)
}

fn request_framing(fields: &Fields, is_http_1_0: bool) -> Result<Framing, Error> {
    let length = length(fields)?;
    match (is_chunked(fields)?, length) {
        (true, None) if !is_http_1_0 => Ok(Framing::Chunked),
        (true, _) => Err(Error::Malformed),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::Empty),
    }
}

fn response_framing(fields: &Fields, method: &[u8], status: u16) -> Result<Framing, Error> {
    let length = length(fields)?;
    if method == b"HEAD" || matches!(status, 100..=199 | 204 | 304) {
        return Ok(Framing::Empty);
    }
    match (is_chunked(fields)?, length) {
        (true, None) => Ok(Framing::Chunked),
        (true, Some(_)) => Err(Error::Malformed),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::Close),
    }
}

/// Returns the value of `content-length`; several values must be equal.
fn length(fields: &Fields) -> Result<Option<u64>, Error> {
    let mut length = None;
    for value in fields.all("content-length") {
        let text = std::str::from_utf8(value).map_err(|_| Error::Malformed)?;
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(Error::Malformed);
        }
        let number: u64 = text.parse().map_err(|_| Error::Malformed)?;
        if length.is_some_and(|length| length != number) {
            return Err(Error::Malformed);
        }
        length = Some(number);
    }
    Ok(length)
}

fn is_chunked(fields: &Fields) -> Result<bool, Error> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Error::Malformed),
    }
}

fn keeps_alive(fields: &Fields, is_http_1_0: bool) -> bool {
    let has = |expected: &str| {
        fields
            .all("connection")
            .flat_map(|value| value.split(|&byte| byte == b','))
            .any(|option| {
                option
                    .trim_ascii()
                    .eq_ignore_ascii_case(expected.as_bytes())
            })
    };
    if is_http_1_0 {
        has("keep-alive")
    } else {
        !has("close")
    }
}

fn field_ranges(bytes: &[u8], headers: &[Header<'_>]) -> FieldRanges {
    headers
        .iter()
        .map(|header| {
            let name = byte_range(bytes, header.name.as_bytes());
            let value = byte_range(bytes, header.value);
            (name.0, name.1, value.0, value.1)
        })
        .collect()
}

/// Returns the start and end of `part` within `bytes`, of which it is a subslice.
fn byte_range(bytes: &[u8], part: &[u8]) -> (usize, usize) {
    if part.is_empty() {
        return (0, 0);
    }
    let begin = part.as_ptr().addr() - bytes.as_ptr().addr();
    (begin, begin + part.len())
}

fn fields(raw: &Bytes, field_ranges: &FieldRanges) -> Fields {
    field_ranges
        .iter()
        .map(|&(name, name_end, value, value_end)| Field {
            name: raw.slice(name..name_end),
            value: raw.slice(value..value_end),
        })
        .collect()
}
