//! How messages are written, apart from how they are carried.
//!
//! Small messages are plain JSON. Large contents are compressed and stand as base64 in a JSON string.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cicadagw_config::part;
use cicadagw_unit::size::Bytes;
use cicadagw_wire::{Down, Up};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};

/// Contents that are larger as plain JSON are compressed.
pub const PLAIN_MAX: Bytes = Bytes::new(512);

/// What every compressed message begins with: the quote and the compression's magic number.
const PACKED_START: &str = "\"KLUv/";

/// Says why a message cannot be read.
#[derive(Debug)]
pub enum Error {
    /// The plain JSON holds something else.
    Plain(serde_json::Error),
    /// The base64 is broken.
    Base64(base64::DecodeError),
    /// The compressed content is broken, too large or holds something else.
    Packed(part::Error),
    /// It is larger than allowed.
    TooLarge(Bytes),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plain(error) => write!(f, "the message is something else: {error}"),
            Self::Base64(error) => write!(f, "the message is not base64: {error}"),
            Self::Packed(error) => write!(f, "the message cannot be unpacked: {error}"),
            Self::TooLarge(size) => write!(f, "the message has {size}, more than allowed"),
        }
    }
}

impl std::error::Error for Error {}

/// Writes a message to a child.
pub fn encode_down(message: &Down) -> Box<RawValue> {
    match message {
        Down::Delta(_)
        | Down::Digests(_)
        | Down::Endpoints(_)
        | Down::Path(_)
        | Down::Snapshot(_) => pack_large(message),
        Down::Heartbeat(_) | Down::Census => plain(message),
    }
}

/// Writes a message to a parent.
pub fn encode_up(message: &Up) -> Box<RawValue> {
    match message {
        Up::Endpoints(_) | Up::Present(_) => pack_large(message),
        Up::Report(_) | Up::SnapshotRequest => plain(message),
    }
}

/// Reads a message that has at most `limit` bytes as it was carried.
///
/// # Errors
///
/// When the text is not what [`encode_down`] or [`encode_up`] makes of a `T`.
pub fn decode<T: DeserializeOwned>(text: &str, limit: Bytes) -> Result<T, Error> {
    let size = Bytes::new(u64::try_from(text.len()).unwrap_or(u64::MAX));
    if size > limit {
        return Err(Error::TooLarge(size));
    }
    if !text.starts_with(PACKED_START) {
        return serde_json::from_str(text).map_err(Error::Plain);
    }
    let base64: &str = serde_json::from_str(text).map_err(Error::Plain)?;
    let bytes = STANDARD_NO_PAD.decode(base64).map_err(Error::Base64)?;
    part::decompress(&bytes).map_err(Error::Packed)
}

fn plain<T: Serialize>(message: &T) -> Box<RawValue> {
    to_raw_value(message).expect("a message can be written as JSON")
}

fn pack_large<T: Serialize>(message: &T) -> Box<RawValue> {
    let plain = plain(message);
    let limit = usize::try_from(PLAIN_MAX.get()).unwrap_or(usize::MAX);
    if plain.get().len() <= limit {
        return plain;
    }
    let base64 = STANDARD_NO_PAD.encode(part::compress(&plain));
    to_raw_value(&base64).expect("a text can be written as JSON")
}
