//! The error of every `FromStr` of this package.

use std::fmt;

/// Says why a text is not a value of the wanted type.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    what: &'static str,
    text: String,
    wanted: &'static str,
}

impl Error {
    /// Creates an error for `text`, which is no `what`; `wanted` says what a good text looks like.
    pub fn new(what: &'static str, text: &str, wanted: &'static str) -> Self {
        Self {
            what,
            text: text.to_owned(),
            wanted,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { what, text, wanted } = self;
        write!(f, "`{text}` is not a {what}: expected {wanted}")
    }
}

impl std::error::Error for Error {}
