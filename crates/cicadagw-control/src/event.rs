//! Inputs of the control state machine.

use cicadagw_endpoint::LocalUpdate;
use cicadagw_wire::link;

use crate::platform;

/// An input of the control state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node is shutting down: leases are released, and other nodes take over as roots.
    Shutdown,
    /// An event of a link to the parent or a child.
    Link(link::Event),
    /// The state of a backend server on this host changed.
    Local(LocalUpdate),
    /// A platform request succeeded or failed.
    Platform(platform::Reply),
    /// Time has passed; sent at a fixed interval.
    Tick,
}
