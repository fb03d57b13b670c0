//! Revisions as entity tags.

use crate::Revision;

/// Writes `revision` as an entity tag.
pub fn format(revision: Revision) -> String {
    format!("\"{revision}\"")
}

/// Reads a revision from an entity tag.
pub fn parse(tag: &str) -> Option<Revision> {
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Revision)
}
