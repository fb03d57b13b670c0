//! The names that both sides of a link use.

use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;

/// Asks to join; subscribes to what the parent sends.
pub(crate) const JOIN: &str = "link_join";

/// Carries one message to a child.
pub(crate) const DOWN: &str = "link_down";

/// Ends what [`JOIN`] began.
pub(crate) const LEAVE: &str = "link_leave";

/// Carries one message to a parent.
pub(crate) const UP: &str = "link_up";

/// The code of the error whose data is a refusal.
pub(crate) const REFUSED: i32 = -32_001;

/// Returns the error for a call that makes no sense.
pub(crate) fn invalid(reason: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, reason, None::<()>)
}
