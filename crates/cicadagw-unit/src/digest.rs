//! Content digests.

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, ToCompactString};

use crate::Error;

/// The length of a digest, in bytes.
const DIGEST_LEN: usize = 16;

/// A truncated BLAKE3 hash of some content, written as 32 lower-case hexadecimal digits.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Digest([u8; DIGEST_LEN]);

impl Digest {
    /// Creates a digest from the first 16 bytes of `hash`.
    pub fn from_hash(hash: &[u8; 32]) -> Self {
        let mut bytes = [0; DIGEST_LEN];
        bytes.copy_from_slice(&hash[..DIGEST_LEN]);
        Self(bytes)
    }

    /// Returns the digest as bytes.
    pub const fn as_bytes(&self) -> &[u8; DIGEST_LEN] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || Error::new("digest", text, "32 hexadecimal digits");
        let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != DIGEST_LEN * 2 || !text.bytes().all(is_hex) {
            return Err(error());
        }
        let mut bytes = [0; DIGEST_LEN];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<CompactString> for Digest {
    type Error = Error;

    fn try_from(text: CompactString) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Digest> for CompactString {
    fn from(digest: Digest) -> Self {
        digest.to_compact_string()
    }
}
