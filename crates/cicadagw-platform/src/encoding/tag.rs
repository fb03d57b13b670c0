//! Entity tags that carry revisions.

use crate::Revision;

/// Formats `revision` as an entity tag.
pub fn format(revision: Revision) -> String {
    format!("\"{}\"", revision.number())
}

/// Parses the revision in an entity tag; returns `None` if there is none.
pub fn parse(tag: &str) -> Option<Revision> {
    let digits = tag.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Revision::new)
}
