//! What the links duty starts from.

use std::net::TcpListener;

use cicadagw_ring::{Receiver, Sender};
use cicadagw_unit::id;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, Event};
use tokio_util::sync::CancellationToken;

use crate::Traffic;

/// Everything that the links duty needs.
#[derive(bon::Builder)]
pub struct Setup {
    /// Where peers connect.
    pub listener: TcpListener,
    /// What the control duty wants done.
    pub commands: Receiver<Command>,
    /// What the control duty is told; a full ring slows the reading down.
    pub events: Sender<Event>,
    /// Ends the duty.
    pub cancel: CancellationToken,
    /// What the duty may use.
    #[builder(default)]
    pub limits: Limits,
    /// The region of the node.
    pub region: id::Region,
    /// What was carried.
    #[builder(default)]
    pub traffic: Traffic,
}

/// What the links duty may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq, bon::Builder)]
pub struct Limits {
    /// The most connections from peers at once.
    #[builder(default = Slots::new(64))]
    pub connections: Slots,
    /// The largest message as it is carried.
    #[builder(default = Bytes::new(4 * 1024 * 1024))]
    pub message: Bytes,
    /// The most messages that wait for one peer.
    #[builder(default = Slots::new(32))]
    pub waiting: Slots,
    /// How long connecting to a parent, and its answer, may take.
    #[builder(default = Span::seconds(3))]
    pub dial: Span,
    /// How long a peer may take to ask, and the control duty to answer.
    #[builder(default = Span::seconds(5))]
    pub join: Span,
    /// How long the listener rests after it failed to take a connection.
    #[builder(default = Span::new(100))]
    pub retry: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Limits {
    /// Returns the largest message in the form that the transport takes.
    pub(crate) fn message_size(&self) -> u32 {
        u32::try_from(self.message.get()).unwrap_or(u32::MAX)
    }

    /// Returns the most waiting messages as a capacity of a ring.
    pub(crate) fn ring_capacity(&self) -> usize {
        usize::try_from(self.waiting.get()).unwrap_or(usize::MAX)
    }
}
