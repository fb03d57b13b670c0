//! The encoding of messages, independent of the transport.
//!
//! Small messages are plain JSON. Large ones are compressed with zstd and sent as a JSON string
//! that holds the base64 of the compressed bytes.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use cicadagw_config::part;
use cicadagw_unit::size::Bytes;
use cicadagw_wire::{Down, Up};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};

/// The largest plain JSON, in bytes, that is sent uncompressed, for the messages that may be
/// compressed.
pub const UNCOMPRESSED_MAX: Bytes = Bytes::new(512);

/// The start of every compressed message: the quote, and zstd's magic number in base64.
const COMPRESSED_PREFIX: &str = "\"KLUv/";

/// The reason why a message cannot be decoded.
#[derive(Debug)]
pub enum Error {
    /// The text is not JSON, or not that of a message of the expected type.
    Plain(serde_json::Error),
    /// The string is not valid base64.
    Base64(base64::DecodeError),
    /// The compressed bytes are corrupt, too large, or not a message of the expected type.
    Compressed(part::Error),
    /// The encoded message is larger than the limit.
    TooLarge(Bytes),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Plain(error) => {
                write!(f, "the message is not JSON of the expected form: {error}")
            }
            Self::Base64(error) => write!(f, "the message is not valid base64: {error}"),
            Self::Compressed(error) => write!(f, "the message cannot be decompressed: {error}"),
            Self::TooLarge(size) => {
                write!(f, "the encoded message has {size}, which exceeds the limit")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Encodes a message to a child.
pub fn encode_down(message: &Down) -> Box<RawValue> {
    match message {
        Down::Delta(_)
        | Down::Digests(_)
        | Down::Endpoints(_)
        | Down::Path(_)
        | Down::Snapshot(_) => compress_large(message),
        Down::Heartbeat(_) | Down::Census => encode_plain(message),
    }
}

/// Encodes a message to a parent.
pub fn encode_up(message: &Up) -> Box<RawValue> {
    match message {
        Up::Endpoints(_) | Up::Present(_) => compress_large(message),
        Up::Report(_) | Up::SnapshotRequest => encode_plain(message),
    }
}

/// Decodes a message whose encoded text has at most `limit` bytes.
///
/// # Errors
///
/// Fails if the text is longer than `limit`, or is not a `T` encoded by [`encode_down`] or
/// [`encode_up`].
pub fn decode<T: DeserializeOwned>(text: &str, limit: Bytes) -> Result<T, Error> {
    let size = Bytes::new(u64::try_from(text.len()).unwrap_or(u64::MAX));
    if size > limit {
        return Err(Error::TooLarge(size));
    }
    if !text.starts_with(COMPRESSED_PREFIX) {
        return serde_json::from_str(text).map_err(Error::Plain);
    }
    let base64: &str = serde_json::from_str(text).map_err(Error::Plain)?;
    let bytes = STANDARD_NO_PAD.decode(base64).map_err(Error::Base64)?;
    part::decompress(&bytes).map_err(Error::Compressed)
}

/// Encodes a message as plain JSON.
fn encode_plain<T: Serialize>(message: &T) -> Box<RawValue> {
    to_raw_value(message).expect("a message can be written as JSON")
}

/// Encodes a message as plain JSON, or compressed if that is longer than [`UNCOMPRESSED_MAX`].
fn compress_large<T: Serialize>(message: &T) -> Box<RawValue> {
    let plain = encode_plain(message);
    let limit = usize::try_from(UNCOMPRESSED_MAX.get()).unwrap_or(usize::MAX);
    if plain.get().len() <= limit {
        return plain;
    }
    let base64 = STANDARD_NO_PAD.encode(part::compress(&plain));
    to_raw_value(&base64).expect("a text can be written as JSON")
}
