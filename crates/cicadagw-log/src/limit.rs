//! The rate limit on repeated messages, without I/O: it decides from the time and the key of a
//! line.

use std::collections::BTreeMap;

use cicadagw_unit::time::{Span, Timestamp};
use compact_str::CompactString;
use smallvec::SmallVec;

/// How many lines with the same key are written within one [`WINDOW`]; further ones are suppressed.
pub const BURST: u32 = 5;

/// The time over which lines with the same key are counted, from the first one on.
pub const WINDOW: Span = Span::seconds(1);

/// How many keys are counted at once; for one more, the oldest window is closed early.
pub const KEYS_MAX: usize = 256;

/// What two lines have in common to count as repeats of each other.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The module that wrote the line.
    pub target: CompactString,
    /// The message without its structured fields.
    pub message: CompactString,
}

/// A report on suppressed lines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// The key of the lines.
    pub key: Key,
    /// How many lines were suppressed.
    pub repeats: u32,
}

/// The decision about a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The reports to write before the line, on windows that have been closed.
    pub summaries: SmallVec<[Summary; 1]>,
    /// Whether to write the line itself.
    pub write: bool,
}

/// The lines with one key in the current window.
#[derive(Clone, Copy, Debug)]
struct Count {
    start: Timestamp,
    lines: u32,
}

/// Counts the lines of each key in its window.
#[derive(Debug, Default)]
pub struct Limiter {
    counts: BTreeMap<Key, Count>,
}

impl Limiter {
    /// Counts a line with `key` at `now`, and decides whether it is written.
    pub fn admit(&mut self, now: Timestamp, key: Key) -> Decision {
        let mut summaries = self.close_expired(now);
        if self.counts.len() >= KEYS_MAX && !self.counts.contains_key(&key) {
            summaries.extend(self.close_oldest());
        }
        let first = Count {
            start: now,
            lines: 0,
        };
        let count = self.counts.entry(key).or_insert(first);
        count.lines = count.lines.saturating_add(1);
        Decision {
            summaries,
            write: count.lines <= BURST,
        }
    }

    /// Closes all windows, and returns the reports on their suppressed lines.
    pub fn drain(&mut self) -> SmallVec<[Summary; 1]> {
        let counts = std::mem::take(&mut self.counts);
        counts.into_iter().filter_map(summary).collect()
    }

    /// Closes the windows that are over at `now`, and returns their reports.
    fn close_expired(&mut self, now: Timestamp) -> SmallVec<[Summary; 1]> {
        self.counts
            .extract_if(.., |_, count| now.since(count.start) >= WINDOW)
            .filter_map(summary)
            .collect()
    }

    /// Closes the window that began first, and returns its report.
    fn close_oldest(&mut self) -> Option<Summary> {
        let oldest = self
            .counts
            .iter()
            .min_by_key(|(_, count)| count.start)
            .map(|(key, _)| key.clone())?;
        self.counts.remove_entry(&oldest).and_then(summary)
    }
}

/// Returns the report on a closed window, if it suppressed lines.
fn summary((key, count): (Key, Count)) -> Option<Summary> {
    let repeats = count.lines.saturating_sub(BURST);
    (repeats > 0).then_some(Summary { key, repeats })
}
