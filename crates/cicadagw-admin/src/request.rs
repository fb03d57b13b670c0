//! What the admin duty asks the control duty for.

use serde_json::Value;
use tokio::sync::oneshot;

/// A request to the control duty.
#[derive(Debug)]
pub enum Request {
    /// Wants all that the control duty knows, to show it to an operator.
    Dump(oneshot::Sender<Value>),
}
