//! The state chart of a session, which accepts one change, and its names.
//!
//! The head is the stored object that names the current version and the history. The parts of a
//! snapshot are stored under the digests of their content.

use std::sync::LazyLock;

use cicadagw_chart::names;

/// The text of the chart file.
const TEXT: &str = include_str!("../../../charts/accept.jsonc");

/// The state chart of a session.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Returns the chart, parsed once.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
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
        /// The head is read to determine whether the update took effect, or which other change it
        /// conflicts with.
        Resolving = "resolving",
        /// The session has an outcome.
        Ended = "ended",
    }
}

names! {
    /// The result of a request to the platform. [`crate::Event`] is the same with its data.
    pub enum Event {
        /// The head was read, or does not exist.
        Head = "head",
        /// The snapshots that the change builds on were read.
        Loaded = "loaded",
        /// All parts are stored.
        Written = "written",
        /// The update of the head took effect.
        HeadUpdated = "head-updated",
        /// The response to a write was lost, so whether it took effect is unknown.
        Lost = "lost",
        /// The condition of the head update did not hold.
        Conflict = "conflict",
        /// The platform was unavailable, or did not execute the request.
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
        /// version is not the current version.
        Superseded = "superseded",
        /// The history no longer reaches back to the version that this change may have received.
        HistoryTruncated = "history-truncated",
        /// The snapshot that would result cannot be built or violates a rule.
        Invalid = "invalid",
        /// The request is a dry run, which writes nothing.
        Trial = "trial",
        /// The response to an update of the head was lost, so the update may have taken effect.
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
        LoadSnapshots = "load-snapshots",
        /// Write the parts of the new snapshot.
        WriteParts = "write-parts",
        /// Update the head, on the condition that it was not changed since the first read.
        UpdateHead = "update-head",
        /// Note that the response to an update of the head was lost.
        MarkIndeterminate = "mark-indeterminate",
        /// Wait before the next attempt; the wait doubles every time.
        BackOff = "back-off",
        /// Remove the parts that the history no longer references, after the new parts were written
        /// once more in case another operator removed them meanwhile.
        CollectGarbage = "collect-garbage",
        /// End: the change was accepted.
        ReportAccepted = "report-accepted",
        /// End: the change was accepted earlier.
        ReportKnown = "report-known",
        /// End: the dry run succeeded; the change would be accepted.
        ReportTrial = "report-trial",
        /// End: the change was not accepted, because the head was changed meanwhile or the
        /// operator's base version is not the current version.
        ReportConflict = "report-conflict",
        /// End: the platform was unavailable or did not execute a request, and the configuration
        /// did not change.
        ReportUnavailable = "report-unavailable",
        /// End: whether the change was accepted is unknown.
        ReportUnknown = "report-unknown",
        /// End: the change id belongs to another change.
        RefuseReuse = "refuse-reuse",
        /// End: the change is invalid.
        RefuseInvalid = "refuse-invalid",
    }
}
