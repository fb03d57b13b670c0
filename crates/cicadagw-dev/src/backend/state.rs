//! What the handlers and the announcer of a backend server share.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cicadagw_endpoint::State as Life;
use tokio::sync::{Notify, Semaphore, watch};

use super::stats::Executions;
use super::{Announcement, Backend, Fault, Load, Stats};

/// The state of a backend server.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) address: SocketAddr,
    pub(crate) backend: Backend,
    /// The places in which calls run.
    pub(crate) workers: Semaphore,
    inner: Mutex<Inner>,
    in_flight: watch::Sender<u32>,
    news: Notify,
}

/// What is changed under the lock.
#[derive(Debug, Default)]
pub(crate) struct Inner {
    pub(crate) draining: bool,
    pub(crate) executions: Executions,
    pub(crate) fault: Fault,
    pub(crate) in_flight_max: u32,
    pub(crate) shed: u64,
}

impl State {
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
            news: Notify::default(),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to drain, and has this announced at once.
    pub(crate) fn drain(&self) {
        self.lock().draining = true;
        self.news.notify_one();
    }

    /// Waits for something that must be announced at once.
    pub(crate) async fn changed(&self) {
        self.news.notified().await;
    }

    /// Waits until no call is here.
    pub(crate) async fn idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // The sender lives as long as the state, so there is no error.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }

    /// Counts a call as here for as long as the returned value lives.
    pub(crate) fn enter(&self) -> Here<'_> {
        self.in_flight.send_modify(|count| *count += 1);
        let now = *self.in_flight.borrow();
        let mut inner = self.lock();
        inner.in_flight_max = inner.in_flight_max.max(now);
        Here(self)
    }

    pub(crate) fn announcement(&self) -> Announcement {
        let inner = self.lock();
        let real = *self.in_flight.borrow();
        Announcement {
            address: self.address,
            connections: self.backend.connections,
            endpoint: self.backend.endpoint.clone(),
            load: Load {
                in_flight: inner.fault.load.unwrap_or(real),
            },
            service: self.backend.service.clone(),
            slots: self.backend.slots,
            state: if inner.draining {
                Life::Draining
            } else {
                Life::Ready
            },
        }
    }

    pub(crate) fn stats(&self) -> Stats {
        let inner = self.lock();
        Stats {
            duplicated: inner.executions.doubled(),
            executions: inner.executions.total(),
            in_flight: *self.in_flight.borrow(),
            in_flight_max: inner.in_flight_max,
            requests: inner.executions.requests(),
            shed: inner.shed,
        }
    }
}

/// A call that is here.
pub(crate) struct Here<'s>(&'s State);

impl Drop for Here<'_> {
    fn drop(&mut self) {
        self.0.in_flight.send_modify(|count| *count -= 1);
    }
}
