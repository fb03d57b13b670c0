//! Tasks that end with their owner.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::task::{JoinError, JoinHandle};

/// A task on this thread that is stopped when this is dropped.
#[derive(Debug)]
pub struct Task<T>(JoinHandle<T>);

impl<T: 'static> Task<T> {
    /// Starts `future` on this thread.
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
