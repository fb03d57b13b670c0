//! News of backend servers on its way to the control duty.

use std::collections::BTreeMap;

use cicadagw_endpoint::LocalUpdate;
use cicadagw_ring::{Sender, TrySendError};
use cicadagw_unit::id;

/// News for the control duty. A full ring never holds calls up: the newest news of each endpoint
/// waits here until there is room.
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

    /// Takes news in, which replaces older news of the same endpoint.
    pub(crate) fn push(&mut self, news: LocalUpdate) {
        self.waiting.insert(news.endpoint.clone(), news);
    }

    /// Sends what the ring has room for.
    pub(crate) fn flush(&mut self) {
        while let Some((endpoint, news)) = self.waiting.pop_first() {
            match self.ring.try_send(news) {
                Ok(()) => {}
                Err(TrySendError::Full(news)) => {
                    self.waiting.insert(endpoint, news);
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
