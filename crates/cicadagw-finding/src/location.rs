//! Locations in a source.

use std::fmt;

use compact_str::CompactString;

/// A position in a source, such as a file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// The name of the source.
    pub source: CompactString,
    /// The line number, starting at 1.
    pub line: usize,
    /// The column number in characters, starting at 1.
    pub column: usize,
}

impl Location {
    /// Returns the location of byte `offset` of `text`, which was read from `source`.
    ///
    /// An offset that is not a character boundary within `text` maps to the end of `text`.
    pub fn of(source: &str, text: &str, offset: usize) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        Self {
            source: source.into(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.source, self.line, self.column)
    }
}
