//! Heads of messages.

use std::fmt;

use bytes::{Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Header, Status};
use smallvec::SmallVec;

use crate::{Field, Fields, Framing};

/// How many header fields a message may have.
const FIELDS_MAX: usize = 128;

/// The head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The header fields.
    pub fields: Fields,
    /// How the end of the body is told.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub keep_alive: bool,
    /// The method.
    pub method: Bytes,
    /// What is asked for, path and query.
    pub target: Bytes,
    /// Whether it is HTTP/1.0.
    pub is_old: bool,
}

/// The head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// The header fields.
    pub fields: Fields,
    /// How the end of the body is told.
    pub framing: Framing,
    /// Whether the connection may be used again.
    pub keep_alive: bool,
    /// The status code.
    pub status: u16,
}

/// Says why a message cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// It is not HTTP/1.1, or the end of its body is not clear.
    Malformed,
    /// Its head is larger than allowed.
    TooLarge,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the message is not valid HTTP/1.1",
            Self::TooLarge => "the head of the message is too large",
        })
    }
}

impl std::error::Error for Error {}

/// Where a name and a value stand within a head.
type Places = SmallVec<[(usize, usize, usize, usize); 16]>;

/// Takes the head of a request out of `bytes`; `None` when it is not whole yet. At most `size_max`
/// bytes are looked at.
///
/// # Errors
///
/// When there can be no valid head in `bytes`.
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
    let method = place(bytes, method.as_bytes());
    let target = place(bytes, target.as_bytes());
    let places = places(bytes, parsed.headers);
    let raw = bytes.split_to(length).freeze();
    let fields = fields(&raw, &places);
    let is_old = version == 0;
    Ok(Some(Request {
        framing: request_framing(&fields, is_old)?,
        keep_alive: keeps_alive(&fields, is_old),
        fields,
        method: raw.slice(method.0..method.1),
        target: raw.slice(target.0..target.1),
        is_old,
    }))
}

/// Takes the head of the response to a request with `method` out of `bytes`; `None` when it is not
/// whole yet.
///
/// # Errors
///
/// When there can be no valid head in `bytes`, or the end of its body is not clear.
pub fn response(
    bytes: &mut BytesMut,
    method: &[u8],
    size_max: usize,
) -> Result<Option<Response>, Error> {
    let mut headers = [EMPTY_HEADER; FIELDS_MAX];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) if bytes.len() <= size_max => return Ok(None),
        Ok(Status::Partial) | Err(httparse::Error::TooManyHeaders) => return Err(Error::TooLarge),
        Err(_) => return Err(Error::Malformed),
    };
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(Error::Malformed);
    };
    let places = places(bytes, parsed.headers);
    let raw = bytes.split_to(length).freeze();
    let fields = fields(&raw, &places);
    let framing = response_framing(&fields, method, status)?;
    Ok(Some(Response {
        keep_alive: keeps_alive(&fields, version == 0) && framing != Framing::Close,
        fields,
        framing,
        status,
    }))
}

fn request_framing(fields: &Fields, is_old: bool) -> Result<Framing, Error> {
    let length = length(fields)?;
    match (is_chunked(fields)?, length) {
        (true, None) if !is_old => Ok(Framing::Chunked),
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

/// Returns the length that the fields name; several must agree.
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

fn keeps_alive(fields: &Fields, is_old: bool) -> bool {
    let has = |wanted: &str| {
        fields
            .all("connection")
            .flat_map(|value| value.split(|&byte| byte == b','))
            .any(|option| option.trim_ascii().eq_ignore_ascii_case(wanted.as_bytes()))
    };
    if is_old {
        has("keep-alive")
    } else {
        !has("close")
    }
}

fn places(bytes: &[u8], headers: &[Header<'_>]) -> Places {
    headers
        .iter()
        .map(|header| {
            let name = place(bytes, header.name.as_bytes());
            let value = place(bytes, header.value);
            (name.0, name.1, value.0, value.1)
        })
        .collect()
}

/// Returns where `part`, which stands within `bytes`, begins and ends.
fn place(bytes: &[u8], part: &[u8]) -> (usize, usize) {
    if part.is_empty() {
        return (0, 0);
    }
    let begin = part.as_ptr().addr() - bytes.as_ptr().addr();
    (begin, begin + part.len())
}

fn fields(raw: &Bytes, places: &Places) -> Fields {
    places
        .iter()
        .map(|&(name, name_end, value, value_end)| Field {
            name: raw.slice(name..name_end),
            value: raw.slice(value..value_end),
        })
        .collect()
}
