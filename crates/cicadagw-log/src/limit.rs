//! The limit on repeats: a plain function of the time and the key of a line.

use std::collections::BTreeMap;

use cicadagw_unit::time::{Span, Timestamp};
use compact_str::CompactString;
use smallvec::SmallVec;

/// How many equal lines are written within one [`WINDOW`].
pub const BURST: u32 = 5;

/// The time within which equal lines are counted.
pub const WINDOW: Span = Span::seconds(1);

/// How many different lines are counted at once.
pub const KEYS_MAX: usize = 256;

/// What makes two lines equal.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The part of the program that wrote the line.
    pub target: CompactString,
    /// The message without its key-values.
    pub message: CompactString,
}

/// Lines that were held back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// What the lines have in common.
    pub key: Key,
    /// How many there were.
    pub repeats: u32,
}

/// What to do about a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// What to write first, about lines held back earlier.
    pub summaries: SmallVec<[Summary; 1]>,
    /// Whether to write the line itself.
    pub write: bool,
}

/// Equal lines since the beginning of a window.
#[derive(Clone, Copy, Debug)]
struct Count {
    since: Timestamp,
    lines: u32,
}

/// Counts equal lines.
#[derive(Debug, Default)]
pub struct Limiter {
    counts: BTreeMap<Key, Count>,
}

impl Limiter {
    /// Decides about a line with `key` at `now`.
    pub fn admit(&mut self, now: Timestamp, key: Key) -> Verdict {
        let mut summaries = self.close(now);
        if self.counts.len() >= KEYS_MAX && !self.counts.contains_key(&key) {
            summaries.extend(self.close_oldest());
        }
        let first = Count {
            since: now,
            lines: 0,
        };
        let count = self.counts.entry(key).or_insert(first);
        count.lines = count.lines.saturating_add(1);
        Verdict {
            summaries,
            write: count.lines <= BURST,
        }
    }

    /// Ends all windows, and returns what was held back.
    pub fn drain(&mut self) -> SmallVec<[Summary; 1]> {
        let counts = std::mem::take(&mut self.counts);
        counts.into_iter().filter_map(summary).collect()
    }

    /// Ends the windows that are over at `now`.
    fn close(&mut self, now: Timestamp) -> SmallVec<[Summary; 1]> {
        self.counts
            .extract_if(.., |_, count| now.since(count.since) >= WINDOW)
            .filter_map(summary)
            .collect()
    }

    /// Ends the window that began first.
    fn close_oldest(&mut self) -> Option<Summary> {
        let oldest = self
            .counts
            .iter()
            .min_by_key(|(_, count)| count.since)
            .map(|(key, _)| key.clone())?;
        self.counts.remove_entry(&oldest).and_then(summary)
    }
}

/// Returns the summary of a window that ended, if it held lines back.
fn summary((key, count): (Key, Count)) -> Option<Summary> {
    let repeats = count.lines.saturating_sub(BURST);
    (repeats > 0).then_some(Summary { key, repeats })
}
