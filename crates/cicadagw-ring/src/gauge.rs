//! The gauge of a ring, for metrics and state dumps.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The name, the capacity and the message counts of a ring; clones share the counts.
#[derive(Clone, Debug)]
pub struct Gauge {
    name: &'static str,
    capacity: usize,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    received: AtomicU64,
    refused: AtomicU64,
}

impl Gauge {
    pub(crate) fn new(name: &'static str, capacity: usize) -> Self {
        Self {
            name,
            capacity,
            counts: Arc::default(),
        }
    }

    /// Returns the name of the ring.
    pub const fn name(&self) -> &'static str {
        self.name
    }

    /// Returns the maximum number of messages in the ring.
    pub const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of messages in the ring.
    ///
    /// The value is approximate under concurrent use, because the numbers of sent and received
    /// messages, of which it is the difference, are read one after the other.
    pub fn fill(&self) -> u64 {
        let received = self.counts.received.load(Ordering::Relaxed);
        self.counts
            .sent
            .load(Ordering::Relaxed)
            .saturating_sub(received)
    }

    /// Returns the number of messages that [`crate::Sender::try_send`] returned because the ring
    /// was full.
    pub fn refused(&self) -> u64 {
        self.counts.refused.load(Ordering::Relaxed)
    }

    pub(crate) fn count_sent(&self) {
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_received(&self) {
        self.counts.received.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_refused(&self) {
        self.counts.refused.fetch_add(1, Ordering::Relaxed);
    }
}
