//! Statistics of the fake platform.

use cicadagw_unit::size::Bytes;

/// The number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Calls {
    /// DELETE of an object.
    pub delete: u64,
    /// GET of an object, without a watch.
    pub get: u64,
    /// Lists of keys.
    pub list: u64,
    /// PUT of an object, including writes that did not take effect.
    pub put: u64,
    /// Watches (long polls); each counts once, however long it waits.
    pub watch: u64,
}

/// Statistics of the fake platform, as `/stats` reports them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// Calls by kind, including those that failed because of an injected fault.
    pub calls: Calls,
    /// Calls that failed because of an injected fault.
    pub failed: u64,
    /// The number of stored objects.
    pub objects: usize,
    /// Bytes of values received in writes.
    pub received: Bytes,
    /// Bytes of values sent in responses.
    pub sent: Bytes,
    /// Watches that are waiting now.
    pub waiting: u64,
}

/// The kind of a call, as [`Calls`] counts them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Delete,
    Get,
    List,
    Put,
    Watch,
}

impl Calls {
    /// Counts one call of `kind`.
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

    /// Returns the number of calls of all kinds.
    pub const fn total(&self) -> u64 {
        self.delete + self.get + self.list + self.put + self.watch
    }
}
