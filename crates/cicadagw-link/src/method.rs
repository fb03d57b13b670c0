//! The JSON-RPC methods and error codes that both sides of a link use.

use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;

/// Asks to join a parent; an accepted join subscribes the child to the parent's messages.
pub(crate) const JOIN: &str = "link_join";

/// The notification that carries one message to a child.
pub(crate) const DOWN: &str = "link_down";

/// Ends the subscription that [`JOIN`] started.
pub(crate) const LEAVE: &str = "link_leave";

/// The call that carries one message to a parent.
pub(crate) const UP: &str = "link_up";

/// The code of the error that refuses a join; its data is the refusal.
pub(crate) const REFUSED: i32 = -32_001;

/// Returns the error for a call with invalid parameters or at the wrong time.
pub(crate) fn invalid_params(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, reason, None::<()>)
}
