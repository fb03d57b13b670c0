//! What happens to a node's control.

use cicadagw_endpoint::LocalUpdate;
use cicadagw_wire::link;

use crate::platform;

/// Something that the control duty learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node is to stop; others take over what it is the root of.
    Leave,
    /// Something happened to a link.
    Link(link::Event),
    /// Something happened to the backend server of this host.
    Local(LocalUpdate),
    /// The platform answered.
    Platform(platform::Reply),
    /// Time went by.
    Tick,
}
