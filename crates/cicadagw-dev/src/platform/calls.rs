//! Counts of calls.

use cicadagw_unit::size::Bytes;

/// How often each kind of call was made.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// Removals.
    pub delete: u64,
    /// Reads.
    pub get: u64,
    /// Lists of keys.
    pub list: u64,
    /// Writes, also those that did not take effect.
    pub put: u64,
    /// Watches; a waiting one is one call.
    pub watch: u64,
}

/// What the stand-in has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// Calls by their kind, those included that failed by a fault.
    pub calls: Calls,
    /// Calls that failed by a fault.
    pub failed: u64,
    /// How many objects there are.
    pub objects: usize,
    /// Values received in writes.
    pub received: Bytes,
    /// Values sent in answers.
    pub sent: Bytes,
    /// Watches that wait now.
    pub waiting: u64,
}

/// The kinds of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Delete,
    Get,
    List,
    Put,
    Watch,
}

impl Calls {
    pub(crate) fn count(&mut self, kind: Kind) {
        let count = match kind {
            Kind::Delete => &mut self.delete,
            Kind::Get => &mut self.get,
            Kind::List => &mut self.list,
            Kind::Put => &mut self.put,
            Kind::Watch => &mut self.watch,
        };
        *count += 1;
    }

    /// Returns how many calls there were in all.
    pub const fn total(&self) -> u64 {
        self.delete + self.get + self.list + self.put + self.watch
    }
}
