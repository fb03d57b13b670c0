//! The parse error shared by all types of this crate.

use std::fmt;

/// Reports a string that cannot be parsed as a value of the expected type.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

impl Error {
    /// Creates an error for `text`, which is not a valid `kind`; `expected` describes the syntax.
    ///
    /// `kind` is a noun without article, such as `node name`.
    pub fn new(kind: &'static str, text: &str, expected: &'static str) -> Self {
        Self {
            kind,
            text: text.to_owned(),
            expected,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            text,
            expected,
        } = self;
        write!(f, "`{text}` is not a valid {kind}: expected {expected}")
    }
}

impl std::error::Error for Error {}
