//! Places as offsets into a text.

use cicadagw_finding::Location;
use miette::SourceSpan;

/// Returns the character of `text` at `place`, or its end where the place lies outside.
pub(crate) fn span(text: &str, place: &Location) -> SourceSpan {
    let line_start = line_start(text, place.line);
    let rest = &text[line_start..];
    let column = place.column.saturating_sub(1);
    match rest.char_indices().nth(column) {
        Some((offset, character)) => (line_start + offset, character.len_utf8()).into(),
        None => (text.len(), 0).into(),
    }
}

/// Returns the offset of the first character of `line`, counted from one.
fn line_start(text: &str, line: usize) -> usize {
    match line.checked_sub(2) {
        None => 0,
        Some(index) => text
            .match_indices('\n')
            .nth(index)
            .map_or(text.len(), |(offset, _)| offset + 1),
    }
}
