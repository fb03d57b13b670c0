//! Secrets.

use std::fmt;

use compact_str::CompactString;

/// A credential that the calls of a cluster present to backend servers in a request header.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
    /// The name of the request header, in lower case.
    pub header: CompactString,
    /// The value of the header.
    pub value: Value,
}

/// The value of a secret, redacted in `Debug` and `Display`.
#[derive(Clone, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Value(CompactString);

impl Value {
    /// Creates a value.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the value in plain text, which must be used for nothing but the request header.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[redacted]")
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[redacted]")
    }
}
