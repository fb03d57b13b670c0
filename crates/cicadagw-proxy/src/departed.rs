//! Departures of local backend servers, which are acknowledged once the platform has stored them: what
//! only processes of the fleet know ends with them.

use std::cell::RefCell;
use std::time::Duration;

use cicadagw_endpoint::{Departure, Departures};
use cicadagw_ring::Receiver;
use cicadagw_unit::id;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::node::Node;

/// How long an acknowledgement waits for the platform. Backend servers take an acknowledgement that
/// comes a second after their request for none.
const STORED_TIMEOUT: Duration = Duration::from_millis(900);

/// The departures that this node has recorded, and those that the platform has stored.
#[derive(Debug, Default)]
pub(crate) struct Departed {
    recorded: RefCell<Departures>,
    /// `None` where no platform stores departures.
    stored: RefCell<Option<Departures>>,
    changed: Notify,
}

impl Departed {
    /// Creates an empty set; `is_stored` says whether the platform stores departures.
    pub(crate) fn new(is_stored: bool) -> Self {
        Self {
            stored: RefCell::new(is_stored.then(Departures::default)),
            ..Self::default()
        }
    }

    /// Records a departure, which is yet to be stored.
    pub(crate) fn record(&self, departure: &Departure) {
        self.recorded.borrow_mut().record(departure);
    }

    /// Waits until the platform has stored the departure of an endpoint. Returns whether it has in
    /// time, or whether there is nothing to store.
    pub(crate) async fn wait_until_stored(&self, endpoint: &id::Endpoint) -> bool {
        let departure = self.recorded.borrow().get(endpoint).cloned();
        let Some(departure) = departure else {
            return true;
        };
        let waiting = async {
            loop {
                let changed = self.changed.notified();
                if self.is_stored(&departure) {
                    return;
                }
                changed.await;
            }
        };
        timeout(STORED_TIMEOUT, waiting).await.is_ok()
    }

    fn is_stored(&self, departure: &Departure) -> bool {
        let stored = self.stored.borrow();
        stored
            .as_ref()
            .is_none_or(|stored| stored.contains(&departure.endpoint, departure.started_ms))
    }

    fn set_stored(&self, stored: Departures) {
        *self.stored.borrow_mut() = Some(stored);
        self.changed.notify_waiters();
    }
}

/// Takes in which departures the platform has stored, until the ring is closed.
pub(crate) async fn receive(node: &Node, stored: &Receiver<Departures>) {
    while let Some(stored) = stored.recv().await {
        node.departed.set_stored(stored);
    }
}
