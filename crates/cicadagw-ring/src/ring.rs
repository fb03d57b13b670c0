//! Rings and their two ends.

use std::fmt;

use thingbuf::Recycle;
use thingbuf::mpsc::errors::TrySendError as InnerError;
use thingbuf::mpsc::{self};

use crate::Gauge;

/// Leaves an empty slot behind each message that was taken out.
#[derive(Clone, Copy, Debug)]
struct Emptied;

impl<T> Recycle<Option<T>> for Emptied {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, element: &mut Option<T>) {
        *element = None;
    }
}

/// The end of a ring that puts messages in.
pub struct Sender<T> {
    inner: mpsc::Sender<Option<T>, Emptied>,
    gauge: Gauge,
}

/// The end of a ring that takes messages out.
pub struct Receiver<T> {
    inner: mpsc::Receiver<Option<T>, Emptied>,
    gauge: Gauge,
}

/// Says that a ring did not take a message, and gives it back.
#[derive(Debug, Eq, PartialEq)]
pub enum TrySendError<T> {
    /// The ring holds as many messages as it may.
    Full(T),
    /// The other end is gone.
    Closed(T),
}

/// Says that the other end of a ring is gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the other end of the ring is gone")
    }
}

impl std::error::Error for Closed {}

/// Creates a ring for at most `capacity` messages; `name` appears in dumps and metrics.
pub fn channel<T>(name: &'static str, capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, Emptied);
    let gauge = Gauge::new(name, capacity);
    let sender = Sender {
        inner: sender,
        gauge: gauge.clone(),
    };
    let receiver = Receiver {
        inner: receiver,
        gauge,
    };
    (sender, receiver)
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Self {
            inner: self.inner.clone(),
            gauge: self.gauge.clone(),
        }
    }
}

impl<T> Sender<T> {
    /// Puts `message` in at once, or gives it back.
    ///
    /// # Errors
    ///
    /// The message, when the ring is full or its receiver is gone.
    pub fn try_send(&self, message: T) -> Result<(), TrySendError<T>> {
        match self.inner.try_send(Some(message)) {
            Ok(()) => {
                self.gauge.count_sent();
                Ok(())
            }
            Err(InnerError::Full(message)) => {
                self.gauge.count_refused();
                Err(message.map_or_else(|| unreachable!("a message was sent"), TrySendError::Full))
            }
            Err(InnerError::Closed(message)) => {
                Err(message
                    .map_or_else(|| unreachable!("a message was sent"), TrySendError::Closed))
            }
            Err(_) => unreachable!("a ring is full or closed"),
        }
    }

    /// Puts `message` in, after waiting for room.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the receiver is gone; the message is dropped.
    pub async fn send(&self, message: T) -> Result<(), Closed> {
        self.inner.send(Some(message)).await.map_err(|_| Closed)?;
        self.gauge.count_sent();
        Ok(())
    }

    /// Returns the gauge of the ring.
    pub const fn gauge(&self) -> &Gauge {
        &self.gauge
    }
}

impl<T> Receiver<T> {
    /// Takes the next message, waiting for it; `None` when every sender is gone.
    pub async fn recv(&self) -> Option<T> {
        let message = self.inner.recv().await.flatten()?;
        self.gauge.count_received();
        Some(message)
    }

    /// Returns the gauge of the ring.
    pub const fn gauge(&self) -> &Gauge {
        &self.gauge
    }
}
