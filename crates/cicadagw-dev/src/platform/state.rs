//! The state that the handlers of the fake platform share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cicadagw_platform::Key;
use tokio::sync::watch;

use super::stats::Stats;
use super::{Change, Faults, Objects};

/// The state of the fake platform.
#[derive(Debug, Default)]
pub(crate) struct State {
    inner: Mutex<Inner>,
}

/// The state behind the lock.
#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub(crate) faults: Faults,
    pub(crate) objects: Objects,
    pub(crate) stats: Stats,
    /// Wakes the watches of each key.
    wakers: BTreeMap<Key, watch::Sender<()>>,
}

impl State {
    /// Locks the state, also after a handler panicked while it held the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns a receiver that is notified when a watch of `key` must check its object again.
    pub(crate) fn subscribe(&mut self, key: &Key) -> watch::Receiver<()> {
        self.wakers.entry(key.clone()).or_default().subscribe()
    }

    /// Wakes the watches of `key`.
    pub(crate) fn notify(&mut self, key: &Key) {
        if let Some(waker) = self.wakers.get(key) {
            waker.send_replace(());
        }
    }

    /// Updates the injected faults and wakes every watch, since it may have to fail now.
    pub(crate) fn change(&mut self, change: Change) {
        self.faults.apply(change);
        for waker in self.wakers.values() {
            waker.send_replace(());
        }
    }

    /// Returns the statistics with the current number of objects.
    pub(crate) fn stats(&self) -> Stats {
        Stats {
            objects: self.objects.len(),
            ..self.stats
        }
    }
}
