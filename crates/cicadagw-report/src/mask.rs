//! Secrets in the lines that a report shows.
//!
//! A report may end up in the logs of whatever started the program, and it shows lines beside the
//! one that is wrong.

/// The names in files, as they stand there, whose values are secret.
const SECRET_NAMES: [&str; 2] = ["\"admin_token\"", "\"value\""];

/// What each character of a secret is replaced with, so that places stay as they are.
const MASK: char = '*';

/// Returns `text` with every secret masked.
pub(crate) fn mask(text: &str) -> String {
    let mut masked = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(start) = next_secret(rest) {
        let (before, from) = rest.split_at(start);
        let end = end_of_text(from);
        masked.push_str(before);
        masked.extend(from[..end].chars().map(|_| MASK));
        rest = &from[end..];
    }
    masked.push_str(rest);
    masked
}

/// Returns the offset behind the opening quote of the first secret.
fn next_secret(text: &str) -> Option<usize> {
    let starts = SECRET_NAMES
        .iter()
        .flat_map(|name| text.match_indices(name).map(|(at, _)| at + name.len()));
    starts.filter_map(|end| value_start(text, end)).min()
}

/// Returns the offset behind the quote that opens the text after the name that ends at `end`.
fn value_start(text: &str, end: usize) -> Option<usize> {
    let value = text[end..].trim_start().strip_prefix(':')?;
    let inner = value.trim_start().strip_prefix('"')?;
    Some(text.len() - inner.len())
}

/// Returns the length of a text up to its closing quote, or to the end of its line.
fn end_of_text(text: &str) -> usize {
    let mut escaped = false;
    for (offset, character) in text.char_indices() {
        match character {
            '\n' => return offset,
            '"' if !escaped => return offset,
            _ => escaped = character == '\\' && !escaped,
        }
    }
    text.len()
}
