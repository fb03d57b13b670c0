//! What the handlers of the stand-in share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cicadagw_platform::Key;
use tokio::sync::watch;

use super::calls::Stats;
use super::{Change, Fault, Objects};

/// The state of the stand-in.
#[derive(Debug, Default)]
pub(crate) struct State {
    inner: Mutex<Inner>,
}

/// What is changed under the lock.
#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub(crate) fault: Fault,
    pub(crate) objects: Objects,
    pub(crate) stats: Stats,
    /// Wakes the watches of a key.
    news: BTreeMap<Key, watch::Sender<()>>,
}

impl State {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Returns what wakes a watch of `key`.
    pub(crate) fn subscribe(&mut self, key: &Key) -> watch::Receiver<()> {
        self.news.entry(key.clone()).or_default().subscribe()
    }

    /// Wakes the watches of `key`.
    pub(crate) fn announce(&mut self, key: &Key) {
        if let Some(news) = self.news.get(key) {
            news.send_replace(());
        }
    }

    /// Changes the faults, and wakes every watch, since it may fail now.
    pub(crate) fn change(&mut self, change: Change) {
        self.fault.apply(change);
        for news in self.news.values() {
            news.send_replace(());
        }
    }

    pub(crate) fn stats(&self) -> Stats {
        Stats {
            objects: self.objects.len(),
            ..self.stats
        }
    }
}
