//! Faults that a test injects into a backend server.

/// The injected faults; none by default.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The point at which the connections of the next [`Faults::close_calls`] calls are closed.
    pub close: Option<Close>,
    /// The number of calls that [`Faults::close`] still applies to. Every call counts, including
    /// one that is shed.
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
    #[serde(rename = "before-run")]
    BeforeExecution,
    /// After the request was executed and before the response.
    #[serde(rename = "after-run")]
    AfterExecution,
    /// Before the last declared byte of the response body.
    #[serde(rename = "mid-answer")]
    MidResponse,
}

/// An update of the injected faults. A field that is `None` leaves the fault as it is, so that
/// [`Faults::close`] and [`Faults::load`] cannot be cleared.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Replaces [`Faults::close`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub close: Option<Close>,
    /// Replaces [`Faults::close_calls`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub close_calls: Option<u32>,
    /// Replaces [`Faults::load`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
    /// Replaces [`Faults::shed`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shed: Option<bool>,
    /// Replaces [`Faults::slow_ms`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
}

impl Faults {
    /// Applies `change`.
    pub fn apply(&mut self, change: &Change) {
        self.close = change.close.or(self.close);
        self.close_calls = change.close_calls.unwrap_or(self.close_calls);
        self.load = change.load.or(self.load);
        self.shed = change.shed.unwrap_or(self.shed);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
    }

    /// Consumes one of [`Faults::close_calls`] and returns where to close the connection; `None` if
    /// no call is left or [`Faults::close`] is unset.
    pub(crate) fn take_close(&mut self) -> Option<Close> {
        self.close_calls = self.close_calls.checked_sub(1)?;
        self.close
    }
}
