//! Parts: immutable contents, named by their digest, that fit into one value of the platform.

use std::io::Read;

use cicadagw_unit::Digest;
use cicadagw_unit::size::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest part; well below the largest value of the platform, which is one megabyte.
pub const PART_MAX: Bytes = Bytes::new(512 * 1024);

/// The largest content that is unpacked, so that a corrupt part cannot fill the memory.
pub const CONTENT_MAX: Bytes = Bytes::new(16 * 1024 * 1024);

/// How hard parts are compressed.
const COMPRESSION_LEVEL: i32 = 3;

/// Bytes and their digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The digest of the bytes.
    pub digest: Digest,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Says why parts cannot be unpacked.
#[derive(Debug)]
pub enum Error {
    /// They are not compressed as they should be, or too large.
    Compression(std::io::Error),
    /// They hold something else.
    Content(serde_json::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Compression(error) => write!(f, "the parts cannot be decompressed: {error}"),
            Self::Content(error) => write!(f, "the parts hold something else: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Packs `content` into one or more parts.
pub fn pack<T: Serialize>(content: &T) -> Vec<Part> {
    compress(content)
        .chunks(usize::try_from(PART_MAX.get()).unwrap_or(usize::MAX))
        .map(|chunk| Part {
            digest: Digest::from_hash(blake3::hash(chunk).as_bytes()),
            bytes: chunk.to_vec(),
        })
        .collect()
}

/// Unpacks what [`pack`] packed, from the bytes of its parts in their order.
///
/// # Errors
///
/// When the bytes are not what [`pack`] makes of a `T`.
pub fn unpack<T: DeserializeOwned>(parts: &[Vec<u8>]) -> Result<T, Error> {
    decompress(&parts.concat())
}

/// Compresses `content` into one piece.
pub fn compress<T: Serialize>(content: &T) -> Vec<u8> {
    let json = serde_json::to_vec(content).expect("a content can be written as JSON");
    zstd::bulk::compress(&json, COMPRESSION_LEVEL).expect("bytes can be compressed into memory")
}

/// Undoes [`compress`].
///
/// # Errors
///
/// When the bytes are not what [`compress`] makes of a `T`.
pub fn decompress<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let decoder = zstd::stream::Decoder::new(bytes).map_err(Error::Compression)?;
    let limit = CONTENT_MAX.get();
    let mut json = Vec::new();
    // One byte more than allowed shows that there is more, without unpacking all of it.
    let size = decoder.take(limit + 1).read_to_end(&mut json);
    let size = size.map_err(Error::Compression)?;
    if u64::try_from(size).unwrap_or(u64::MAX) > limit {
        let error = std::io::Error::other("the content is too large");
        return Err(Error::Compression(error));
    }
    serde_json::from_slice(&json).map_err(Error::Content)
}

/// Tells whether `bytes` have `digest`.
pub fn is_intact(digest: Digest, bytes: &[u8]) -> bool {
    Digest::from_hash(blake3::hash(bytes).as_bytes()) == digest
}
