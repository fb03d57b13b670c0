//! Faults that a test asks for.

use compact_str::CompactString;

/// What goes wrong at the platform now.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every call waits this long first, in milliseconds.
    pub delay_ms: u64,
    /// No call is served.
    pub down: bool,
    /// The next write that takes effect gets no answer.
    pub drop_answer_of_next_put: bool,
    /// The next write of the object with this key that takes effect gets no answer.
    pub drop_answer_of_put_to: Option<CompactString>,
    /// Calls of these clients are not served: parts of their `user-agent`, between `/`.
    pub refuse_from: Vec<CompactString>,
}

/// A change of the faults; what it does not name stays.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Replaces [`Fault::delay_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Replaces [`Fault::down`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// Replaces [`Fault::drop_answer_of_next_put`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_answer_of_next_put: Option<bool>,
    /// Replaces [`Fault::drop_answer_of_put_to`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_answer_of_put_to: Option<CompactString>,
    /// Replaces [`Fault::refuse_from`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse_from: Option<Vec<CompactString>>,
}

impl Fault {
    /// Makes `change`.
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

    /// Takes whether a write of `key`, which took effect, gets no answer.
    pub(crate) fn take_drop(&mut self, key: &str) -> bool {
        if self.drop_answer_of_put_to.as_deref() == Some(key) {
            self.drop_answer_of_put_to = None;
            return true;
        }
        std::mem::take(&mut self.drop_answer_of_next_put)
    }

    /// Tells whether calls of the client `agent` are served.
    pub fn serves(&self, agent: &str) -> bool {
        let refused = |part: &str| self.refuse_from.iter().any(|name| name == part);
        !self.down && !agent.split('/').any(refused)
    }
}
