//! The output of a command that succeeded.

use serde_json::Value;

/// The output of a command that succeeded, as text and as JSON.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Output {
    /// The output as JSON, printed with `--json`.
    pub json: Value,
    /// The human-readable output, without a line break at the end.
    pub text: String,
}
