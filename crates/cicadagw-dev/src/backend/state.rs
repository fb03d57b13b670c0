//! The state that the handlers and the announcer of a test backend server share.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cicadagw_endpoint::State as EndpointState;
use tokio::sync::{Notify, Semaphore, watch};

use super::stats::Executions;
use super::{Announcement, Backend, Faults, Load, Stats};

/// The state of a test backend server.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) address: SocketAddr,
    pub(crate) backend: Backend,
    /// A permit for each call that can be executed concurrently.
    pub(crate) workers: Semaphore,
    inner: Mutex<Inner>,
    in_flight: watch::Sender<u32>,
    /// Wakes the announcer when the state to announce has changed.
    change: Notify,
}

/// The state behind the lock.
#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub(crate) draining: bool,
    pub(crate) executions: Executions,
    pub(crate) faults: Faults,
    pub(crate) in_flight_max: u32,
    pub(crate) shed: u64,
}

impl State {
    /// Creates the state and opens the journal, if there is one.
    pub(crate) fn new(address: SocketAddr, backend: Backend) -> io::Result<Self> {
        let open = |path| File::options().create(true).append(true).open(path);
        let journal = backend.journal.as_ref().map(open).transpose()?;
        let inner = Inner {
            executions: Executions::new(journal),
            ..Inner::default()
        };
        let workers = backend
            .workers
            .map_or(Semaphore::MAX_PERMITS, |workers| workers.get() as usize);
        Ok(Self {
            workers: Semaphore::new(workers),
            address,
            backend,
            inner: Mutex::new(inner),
            in_flight: watch::Sender::default(),
            change: Notify::default(),
        })
    }

    /// Locks the state, also after a handler panicked while it held the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts draining and wakes the announcer, which announces it at once.
    pub(crate) fn drain(&self) {
        self.lock().draining = true;
        self.change.notify_one();
    }

    /// Waits for a change that must be announced at once.
    pub(crate) async fn changed(&self) {
        self.change.notified().await;
    }

    /// Waits until no call is in flight.
    pub(crate) async fn idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // Waiting fails only when the sender is dropped, and `self` owns it.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }

    /// Counts a call as in flight until the returned guard is dropped.
    pub(crate) fn enter(&self) -> InFlight<'_> {
        self.in_flight.send_modify(|count| *count += 1);
        let now = *self.in_flight.borrow();
        let mut inner = self.lock();
        inner.in_flight_max = inner.in_flight_max.max(now);
        InFlight(self)
    }

    /// Returns the announcement of the current state and load.
    pub(crate) fn announcement(&self) -> Announcement {
        let inner = self.lock();
        let in_flight = *self.in_flight.borrow();
        Announcement {
            address: self.address,
            connections: self.backend.connections,
            endpoint: self.backend.endpoint.clone(),
            load: Load {
                in_flight: inner.faults.load.unwrap_or(in_flight),
            },
            service: self.backend.service.clone(),
            slots: self.backend.slots,
            state: if inner.draining {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            },
        }
    }

    /// Returns the statistics up to now.
    pub(crate) fn stats(&self) -> Stats {
        let inner = self.lock();
        Stats {
            duplicated: inner.executions.duplicated(),
            executions: inner.executions.total(),
            in_flight: *self.in_flight.borrow(),
            in_flight_max: inner.in_flight_max,
            requests: inner.executions.requests(),
            shed: inner.shed,
        }
    }
}

/// A call in flight.
pub(crate) struct InFlight<'s>(&'s State);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|count| *count -= 1);
    }
}
