//! Requests from the admin duty to the control or gossip duty.

use serde_json::Value;
use tokio::sync::oneshot;

/// A request to the control or gossip duty.
#[derive(Debug)]
pub enum Request {
    /// Asks for a dump of the duty's state, which is sent through the channel.
    Dump(oneshot::Sender<Value>),
}
