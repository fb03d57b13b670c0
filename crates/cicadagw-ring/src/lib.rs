//! Bounded rings that connect the duties of a process, each of which runs in its own thread.
//!
//! A receiver waits without spinning. The sender decides what happens when the ring is full:
//! [`Sender::try_send`] returns the message, [`Sender::send`] waits and so applies back pressure.

mod gauge;
mod ring;

pub use gauge::Gauge;
pub use ring::{Closed, Receiver, Sender, TrySendError, channel};
