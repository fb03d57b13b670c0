//! Spawned tasks that are aborted when their owner is dropped.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::task::{JoinError, JoinHandle};

/// A task spawned on the current thread that is aborted when this handle is dropped.
#[derive(Debug)]
pub struct Task<T>(JoinHandle<T>);

impl<T: 'static> Task<T> {
    /// Spawns `future` on the current thread's `LocalSet`.
    pub fn spawn(future: impl Future<Output = T> + 'static) -> Self {
        Self(tokio::task::spawn_local(future))
    }
}

impl<T> Future for Task<T> {
    type Output = Result<T, JoinError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(cx)
    }
}

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
