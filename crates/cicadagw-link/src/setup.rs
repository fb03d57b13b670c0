//! The parameters of the links duty.

use std::net::TcpListener;

use cicadagw_ring::{Receiver, Sender};
use cicadagw_unit::id;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::Span;
use cicadagw_wire::link::{Command, Event};
use tokio_util::sync::CancellationToken;

use crate::Traffic;

/// The inputs of [`run`](crate::run).
#[derive(bon::Builder)]
pub struct Setup {
    /// The bound listener that children connect to.
    pub listener: TcpListener,
    /// The commands of the control duty.
    pub commands: Receiver<Command>,
    /// The events for the control duty; while the ring is full, no link is read.
    pub events: Sender<Event>,
    /// Stops the duty; the duty also cancels it when it returns.
    pub cancel: CancellationToken,
    /// The limits on connections, messages and waits.
    #[builder(default)]
    pub limits: Limits,
    /// The region of this node, to tell messages that cross regions.
    pub region: id::Region,
    /// The counters of the traffic.
    #[builder(default)]
    pub traffic: Traffic,
}

/// Limits of the links duty.
#[derive(Clone, Copy, Debug, Eq, PartialEq, bon::Builder)]
pub struct Limits {
    /// The most connections from peers at once.
    #[builder(default = Slots::new(64))]
    pub connections_max: Slots,
    /// The largest encoded message.
    #[builder(default = Bytes::new(4 * 1024 * 1024))]
    pub message_max: Bytes,
    /// The most messages that may wait to be sent to one peer; one more closes the link.
    #[builder(default = Slots::new(32))]
    pub waiting_max: Slots,
    /// How long dialling a parent, including its response to the join, may take.
    #[builder(default = Span::seconds(3))]
    pub dial_timeout: Span,
    /// How long a connected peer may take until its join is accepted; the time for the control
    /// duty's response is included. After that, the peer is disconnected.
    #[builder(default = Span::seconds(5))]
    pub join_timeout: Span,
    /// How long the listener pauses after it failed to accept a connection.
    #[builder(default = Span::new(100))]
    pub accept_retry_delay: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Limits {
    /// Returns the largest encoded message in bytes, in the type that the transport takes.
    pub(crate) fn message_size(&self) -> u32 {
        u32::try_from(self.message_max.get()).unwrap_or(u32::MAX)
    }

    /// Returns the capacity of the send ring of a link, in messages.
    pub(crate) fn ring_capacity(&self) -> usize {
        usize::try_from(self.waiting_max.get()).unwrap_or(usize::MAX)
    }
}
