//! Counters of the calls to the platform and of their bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cicadagw_unit::size::Bytes;

/// Counts the traffic between this process and the platform; clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    calls: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
}

/// The values of the counters at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Volume {
    /// The number of calls; a watch counts as one, however long it waits.
    pub calls: u64,
    /// The size of all responses, heads and bodies.
    pub received: Bytes,
    /// The size of all requests, heads and bodies.
    pub sent: Bytes,
}

impl Traffic {
    /// Returns the values of the counters, which are read one after the other.
    pub fn volume(&self) -> Volume {
        Volume {
            calls: self.counts.calls.load(Ordering::Relaxed),
            received: Bytes::new(self.counts.received.load(Ordering::Relaxed)),
            sent: Bytes::new(self.counts.sent.load(Ordering::Relaxed)),
        }
    }

    pub(crate) fn count_sent(&self, bytes: usize) {
        self.counts.calls.fetch_add(1, Ordering::Relaxed);
        self.counts.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self, bytes: usize) {
        self.counts
            .received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
