//! Faults that a test asks for.

/// What a backend server does wrong now.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// How the connections of the next calls end.
    pub close: Option<Close>,
    /// For how many calls [`Fault::close`] holds.
    pub close_calls: u32,
    /// The load that is announced in place of the real one.
    pub load: Option<u32>,
    /// Every call is answered with 503 and not run.
    pub shed: bool,
    /// How much longer a call takes, in milliseconds.
    pub slow_ms: u64,
}

/// When a connection is ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Close {
    /// Before the request runs.
    BeforeRun,
    /// After it ran and before its answer.
    AfterRun,
    /// In the middle of the answer.
    MidAnswer,
}

/// A change of the faults; what it does not name stays.
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
    /// Makes `change`.
    pub fn apply(&mut self, change: &Change) {
        self.close = change.close.or(self.close);
        self.close_calls = change.close_calls.unwrap_or(self.close_calls);
        self.load = change.load.or(self.load);
        self.shed = change.shed.unwrap_or(self.shed);
        self.slow_ms = change.slow_ms.unwrap_or(self.slow_ms);
    }

    /// Takes how the connection of the next call ends.
    pub(crate) fn take_close(&mut self) -> Option<Close> {
        self.close_calls = self.close_calls.checked_sub(1)?;
        self.close
    }
}
