//! Bounded multi-producer, single-consumer rings.

use std::fmt;

use thingbuf::Recycle;
use thingbuf::mpsc::errors::TrySendError as InnerError;
use thingbuf::mpsc::{self};

use crate::Gauge;

/// Recycles a slot by dropping its contents, so that the ring does not keep received messages
/// alive.
#[derive(Clone, Copy, Debug)]
struct Clear;

impl<T> Recycle<Option<T>> for Clear {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, element: &mut Option<T>) {
        *element = None;
    }
}

/// The sending end of a ring.
pub struct Sender<T> {
    inner: mpsc::Sender<Option<T>, Clear>,
    gauge: Gauge,
}

/// The receiving end of a ring.
pub struct Receiver<T> {
    inner: mpsc::Receiver<Option<T>, Clear>,
    gauge: Gauge,
}

/// The error of [`Sender::try_send`], with the message that was not sent.
#[derive(Debug, Eq, PartialEq)]
pub enum TrySendError<T> {
    /// The ring is at its capacity.
    Full(T),
    /// The receiver was dropped.
    Closed(T),
}

/// The error of [`Sender::send`]: the receiver was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

impl fmt::Display for Closed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the receiver of the ring was dropped")
    }
}

impl std::error::Error for Closed {}

/// Creates a ring of at most `capacity` messages; `name` identifies it in metrics and in the state
/// dump of a node.
pub fn channel<T>(name: &'static str, capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, Clear);
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
    /// Sends `message` without waiting.
    ///
    /// # Errors
    ///
    /// Fails with the message if the ring is full or its receiver was dropped.
    pub fn try_send(&self, message: T) -> Result<(), TrySendError<T>> {
        match self.inner.try_send(Some(message)) {
            Ok(()) => {
                self.gauge.count_sent();
                Ok(())
            }
            Err(InnerError::Full(message)) => {
                self.gauge.count_refused();
                Err(message.map_or_else(
                    || unreachable!("every sent element holds a message"),
                    TrySendError::Full,
                ))
            }
            Err(InnerError::Closed(message)) => Err(message.map_or_else(
                || unreachable!("every sent element holds a message"),
                TrySendError::Closed,
            )),
            Err(_) => unreachable!("sending fails only on a full or closed ring"),
        }
    }

    /// Sends `message`, and waits while the ring is full.
    ///
    /// # Errors
    ///
    /// Fails if the receiver was dropped; the message is dropped too.
    pub async fn send(&self, message: T) -> Result<(), Closed> {
        self.inner.send(Some(message)).await.map_err(|_| Closed)?;
        self.gauge.count_sent();
        Ok(())
    }

    /// Returns the gauge of the ring: its name, its capacity and its message counts.
    pub const fn gauge(&self) -> &Gauge {
        &self.gauge
    }
}

impl<T> Receiver<T> {
    /// Waits for the next message; returns `None` once the ring is empty and all senders were
    /// dropped.
    pub async fn recv(&self) -> Option<T> {
        let message = self.inner.recv().await.flatten()?;
        self.gauge.count_received();
        Some(message)
    }

    /// Returns the gauge of the ring: its name, its capacity and its message counts.
    pub const fn gauge(&self) -> &Gauge {
        &self.gauge
    }
}
