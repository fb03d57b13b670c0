//! Bounded rings that join the duty threads.
//!
//! A receiver waits without spinning. What a sender does with a full ring is its choice of call:
//! [`Sender::try_send`] refuses, [`Sender::send`] slows the sender down.

mod gauge;
mod ring;

pub use gauge::Gauge;
pub use ring::{Closed, Receiver, Sender, TrySendError, channel};
