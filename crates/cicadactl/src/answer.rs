//! What a command that succeeded has to say.

use serde_json::Value;

/// What a command says, for people and for scripts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// For scripts.
    pub json: Value,
    /// For people; without a line break at the end.
    pub text: String,
}
