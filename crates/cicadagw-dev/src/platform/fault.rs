//! Faults that a test injects into the fake platform.

use compact_str::CompactString;

/// The injected faults; none by default.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The delay before every call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Whether the connection is closed without a response to the next write that takes effect.
    pub drop_answer_of_next_put: bool,
    /// As [`Faults::drop_answer_of_next_put`], for the next write of the object with this key.
    pub drop_answer_of_put_to: Option<CompactString>,
    /// Clients whose calls fail with status 503. Each entry is compared with the parts between `/`
    /// of the `user-agent` header.
    pub refuse_from: Vec<CompactString>,
}

/// An update of the injected faults. A field that is `None` leaves the fault as it is, so that
/// [`Faults::drop_answer_of_put_to`] cannot be cleared.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Replaces [`Faults::delay_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Replaces [`Faults::down`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Replaces [`Faults::drop_answer_of_next_put`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_answer_of_next_put: Option<bool>,
    /// Replaces [`Faults::drop_answer_of_put_to`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_answer_of_put_to: Option<CompactString>,
    /// Replaces [`Faults::refuse_from`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_from: Option<Vec<CompactString>>,
}

impl Faults {
    /// Applies `change`.
    pub fn apply(&mut self, change: Change) {
        if let Some(delay_ms) = change.delay_ms {
            self.delay_ms = delay_ms;
        }
        if let Some(down) = change.down {
            self.down = down;
        }
        if let Some(drop) = change.drop_answer_of_next_put {
            self.drop_answer_of_next_put = drop;
        }
        if let Some(key) = change.drop_answer_of_put_to {
            self.drop_answer_of_put_to = Some(key);
        }
        if let Some(refuse_from) = change.refuse_from {
            self.refuse_from = refuse_from;
        }
    }

    /// Returns whether the response to a write of `key` that took effect is to be dropped, and
    /// clears the fault that asked for it.
    pub(crate) fn take_dropped_response(&mut self, key: &str) -> bool {
        if self.drop_answer_of_put_to.as_deref() == Some(key) {
            self.drop_answer_of_put_to = None;
            return true;
        }
        std::mem::take(&mut self.drop_answer_of_next_put)
    }

    /// Returns whether calls of the client with the header `user-agent: {agent}` are handled.
    pub fn serves(&self, agent: &str) -> bool {
        let refused = |part: &str| self.refuse_from.iter().any(|name| name == part);
        !self.down && !agent.split('/').any(refused)
    }
}
