//! Faults that a test injects into a backend server.

/// The injected faults; none by default.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// The point at which the connections of the next calls are closed.
    pub close: Option<Close>,
    /// The number of calls that [`Fault::close`] still applies to.
    pub close_calls: u32,
    /// The number of calls in flight to announce in place of the real one.
    pub load: Option<u32>,
    /// Whether every call gets status 503 and is not executed.
    pub shed: bool,
    /// The delay that is added to every call, in milliseconds.
    pub slow_ms: u64,
}

/// The point of a call at which its connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Close {
    /// Before the request is executed.
    BeforeRun,
    /// After the request was executed and before the response.
    AfterRun,
    /// Within the response body.
    MidAnswer,
}

/// An update of the injected faults; a field that is `None` keeps its value.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Replaces [`Fault::close`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub close: Option<Close>,
    /// Replaces [`Fault::close_calls`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub close_calls: Option<u32>,
    /// Replaces [`Fault::load`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
    /// Replaces [`Fault::shed`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shed: Option<bool>,
    /// Replaces [`Fault::slow_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
}

impl Fault {
    /// Applies `change`.
    pub fn apply(&mut self, change: &Change) {
        self.close = change.close.or(self.close);
        self.close_calls = change.close_calls.unwrap_or(self.close_calls);
        self.load = change.load.or(self.load);
        self.shed = change.shed.unwrap_or(self.shed);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
    }

    /// Returns the point at which the connection of this call is closed, and counts down
    /// [`Fault::close_calls`].
    pub(crate) fn take_close(&mut self) -> Option<Close> {
        self.close_calls = self.close_calls.checked_sub(1)?;
        self.close
    }
}
