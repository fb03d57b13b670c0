//! Parts: immutable, content-addressed chunks, each of which fits into one object of the platform.

use std::io::Read;

use cicadagw_unit::Digest;
use cicadagw_unit::size::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The maximum size of a part; well below the maximum size of an object of the platform, which is
/// one megabyte.
pub const PART_MAX: Bytes = Bytes::new(512 * 1024);

/// The maximum decompressed size of the content of all parts together, so that a corrupt part cannot
/// exhaust the memory.
pub const CONTENT_MAX: Bytes = Bytes::new(16 * 1024 * 1024);

/// The zstd compression level of parts.
const COMPRESSION_LEVEL: i32 = 3;

/// A chunk of compressed content and its digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The digest of the compressed bytes.
    pub digest: Digest,
    /// The compressed bytes.
    pub bytes: Vec<u8>,
}

/// The reason why parts cannot be unpacked.
#[derive(Debug)]
pub enum Error {
    /// The parts are not valid zstd data, or decompress to more than [`CONTENT_MAX`].
    Decompression(std::io::Error),
    /// The decompressed content is not JSON of the expected type.
    Content(serde_json::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Decompression(error) => write!(f, "the parts cannot be decompressed: {error}"),
            Self::Content(error) => {
                write!(
                    f,
                    "the parts do not contain valid JSON of the expected type: {error}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

/// Serializes and compresses `content`, and splits the result into parts of at most [`PART_MAX`].
pub fn pack<T: Serialize>(content: &T) -> Vec<Part> {
    compress(content)
        .chunks(usize::try_from(PART_MAX.get()).unwrap_or(usize::MAX))
        .map(|chunk| Part {
            digest: Digest::from_hash(blake3::hash(chunk).as_bytes()),
            bytes: chunk.to_vec(),
        })
        .collect()
}

/// Decodes the content that [`pack`] encoded, given the bytes of all parts in order.
///
/// # Errors
///
/// Fails if the parts together are not the packed form of a `T`.
pub fn unpack<T: DeserializeOwned>(parts: &[Vec<u8>]) -> Result<T, Error> {
    decompress(&parts.concat())
}

/// Serializes `content` to JSON and compresses it, without splitting.
pub fn compress<T: Serialize>(content: &T) -> Vec<u8> {
    let json = serde_json::to_vec(content).expect("the content serializes to JSON");
    zstd::bulk::compress(&json, COMPRESSION_LEVEL).expect("compression into memory does not fail")
}

/// Decompresses the JSON that [`compress`] produced, and deserializes it.
///
/// # Errors
///
/// Fails if `bytes` are not the compressed form of a `T`.
pub fn decompress<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let decoder = zstd::stream::Decoder::new(bytes).map_err(Error::Decompression)?;
    let limit = CONTENT_MAX.get();
    let mut json = Vec::new();
    // Reading one byte beyond the limit detects a larger content without decompressing all of it.
    let size = decoder.take(limit + 1).read_to_end(&mut json);
    let size = size.map_err(Error::Decompression)?;
    if u64::try_from(size).unwrap_or(u64::MAX) > limit {
        let error = std::io::Error::other("the content is too large when decompressed");
        return Err(Error::Decompression(error));
    }
    serde_json::from_slice(&json).map_err(Error::Content)
}

/// Returns whether `digest` is the digest of `bytes`.
pub fn is_intact(digest: Digest, bytes: &[u8]) -> bool {
    Digest::from_hash(blake3::hash(bytes).as_bytes()) == digest
}
