//! The output of a command that succeeded.

use serde_json::Value;

/// The output of a command that succeeded, for people and for scripts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The output for scripts, printed with `--json`.
    pub json: Value,
    /// The output for people, without a line break at the end.
    pub text: String,
}
