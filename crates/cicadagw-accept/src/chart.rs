//! The state chart of accepting a change, and its names.

use std::sync::LazyLock;

use cicadagw_chart::{Chart, names};

/// The text of the chart file.
const TEXT: &str = include_str!("../../../charts/accept.jsonc");

/// The state chart of accepting a change.
pub type Accept = Chart<State, Signal, Guard, Action>;

/// Returns the chart, parsed once.
pub fn chart() -> &'static Accept {
    static CHART: LazyLock<Accept> = LazyLock::new(|| {
        Chart::load("charts/accept.jsonc", TEXT)
            .unwrap_or_else(|findings| panic!("the embedded chart is invalid:\n{findings}"))
    });
    &CHART
}

names! {
    /// The state of a session.
    pub enum State {
        /// The head is being read.
        Reading = "reading",
        /// The snapshots that the change builds on are being read.
        Loading = "loading",
        /// The parts are being written.
        Writing = "writing",
        /// The conditional update of the head is in flight.
        Updating = "updating",
        /// The head is read to determine whether the update took effect.
        Resolving = "resolving",
        /// The session has an outcome.
        Ended = "ended",
    }
}

names! {
    /// The result of a call to the platform.
    pub enum Signal {
        /// The head was read, or does not exist.
        Head = "head",
        /// The snapshots that the change builds on were read.
        Loaded = "loaded",
        /// All parts are stored.
        Written = "written",
        /// The update of the head took effect.
        HeadUpdated = "head-updated",
        /// The response to a write was lost.
        Lost = "lost",
        /// The condition of the head update did not hold.
        Conflict = "conflict",
        /// The platform did not accept the call.
        Unavailable = "unavailable",
    }
}

names! {
    /// A condition on a transition.
    pub enum Guard {
        /// The history holds the change id for a different change.
        Reused = "reused",
        /// The history holds this change.
        Known = "known",
        /// Another change took the version that this change would receive, or the operator's base
        /// version is not in force.
        Superseded = "superseded",
        /// The history no longer reaches back to the version that this change may have received.
        HistoryTruncated = "history-truncated",
        /// The candidate cannot be built or violates a rule.
        Invalid = "invalid",
        /// The request is a trial, which writes nothing.
        Trial = "trial",
        /// An update may have taken effect although its response was lost.
        Indeterminate = "indeterminate",
        /// The limit on retries is not reached.
        RetriesLeft = "retries-left",
    }
}

names! {
    /// An action that a transition asks for.
    pub enum Action {
        /// Read the head.
        ReadHead = "read-head",
        /// Read the snapshots that the change builds on.
        LoadContents = "load-contents",
        /// Write the parts.
        WriteParts = "write-parts",
        /// Update the head conditionally.
        UpdateHead = "update-head",
        /// Note that an update may have taken effect although its response was lost.
        MarkIndeterminate = "mark-indeterminate",
        /// Wait before the next try; the wait doubles every time.
        BackOff = "back-off",
        /// Write the parts once more, and remove those that the history no longer references.
        CollectGarbage = "collect-garbage",
        /// End: the change was accepted.
        ReportAccepted = "report-accepted",
        /// End: the change was accepted earlier.
        ReportKnown = "report-known",
        /// End: the trial succeeded; the change would be accepted.
        ReportTrial = "report-trial",
        /// End: the change conflicts with another one, which was accepted first.
        ReportConflict = "report-conflict",
        /// End: the platform is unavailable, and nothing changed.
        ReportUnavailable = "report-unavailable",
        /// End: whether the change was accepted is unknown.
        ReportUnknown = "report-unknown",
        /// End: the change id belongs to another change.
        RefuseReuse = "refuse-reuse",
        /// End: the change is invalid.
        RefuseInvalid = "refuse-invalid",
    }
}
