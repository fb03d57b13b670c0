//! State changes of local backend servers, queued for the control duty.

use std::collections::BTreeMap;

use cicadagw_endpoint::LocalUpdate;
use cicadagw_ring::{Sender, TrySendError};
use cicadagw_unit::id;

/// A queue of updates for the control duty. If the ring is full, calls are not blocked: the latest
/// update of each endpoint is kept here until the ring has space.
pub(crate) struct Outbox {
    ring: Sender<LocalUpdate>,
    waiting: BTreeMap<id::Endpoint, LocalUpdate>,
}

impl Outbox {
    pub(crate) const fn new(ring: Sender<LocalUpdate>) -> Self {
        Self {
            ring,
            waiting: BTreeMap::new(),
        }
    }

    /// Queues an update, which replaces an earlier one of the same endpoint.
    pub(crate) fn push(&mut self, update: LocalUpdate) {
        self.waiting.insert(update.endpoint.clone(), update);
    }

    /// Sends as many updates as the ring accepts.
    pub(crate) fn flush(&mut self) {
        while let Some((endpoint, update)) = self.waiting.pop_first() {
            match self.ring.try_send(update) {
                Ok(()) => {}
                Err(TrySendError::Full(update)) => {
                    self.waiting.insert(endpoint, update);
                    return;
                }
                Err(TrySendError::Closed(_)) => {
                    self.waiting.clear();
                    return;
                }
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
