//! Conversion of locations to byte spans of a text.

use cicadagw_finding::Location;
use miette::SourceSpan;

/// Returns the span of the character at the location, or the empty span at the end of `text` if
/// there is none.
pub(crate) fn span(text: &str, location: &Location) -> SourceSpan {
    let line_start = line_start(text, location.line);
    let rest = &text[line_start..];
    let column = location.column.saturating_sub(1);
    match rest.char_indices().nth(column) {
        Some((offset, character)) => (line_start + offset, character.len_utf8()).into(),
        None => (text.len(), 0).into(),
    }
}

/// Returns the byte offset of the first character of `line`, counted from one.
fn line_start(text: &str, line: usize) -> usize {
    match line.checked_sub(2) {
        None => 0,
        Some(index) => text
            .match_indices('\n')
            .nth(index)
            .map_or(text.len(), |(offset, _)| offset + 1),
    }
}
