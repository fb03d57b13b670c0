//! Masking of secrets in the source lines of a report.
//!
//! A report may end up in the logs of the process that started the program, and it also shows the
//! lines around a finding.

/// The JSON keys, with their quotes, whose values are secret.
const SECRET_KEYS: [&str; 2] = ["\"admin_token\"", "\"value\""];

/// The character that replaces each character of a secret, so that lines and columns stay the same.
const MASK: char = '*';

/// Returns `text` with every secret masked.
pub(crate) fn mask(text: &str) -> String {
    let mut masked = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(start) = next_secret(rest) {
        let (before, from) = rest.split_at(start);
        let end = string_length(from);
        masked.push_str(before);
        masked.extend(from[..end].chars().map(|_| MASK));
        rest = &from[end..];
    }
    masked.push_str(rest);
    masked
}

/// Returns the byte offset after the opening quote of the first secret.
fn next_secret(text: &str) -> Option<usize> {
    let starts = SECRET_KEYS
        .iter()
        .flat_map(|name| text.match_indices(name).map(|(at, _)| at + name.len()));
    starts.filter_map(|end| value_start(text, end)).min()
}

/// Returns the byte offset after the opening quote of the string value whose key ends at `end`.
fn value_start(text: &str, end: usize) -> Option<usize> {
    let value = text[end..].trim_start().strip_prefix(':')?;
    let inner = value.trim_start().strip_prefix('"')?;
    Some(text.len() - inner.len())
}

/// Returns the length in bytes of a string up to its closing quote, or to the end of its line.
fn string_length(text: &str) -> usize {
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
