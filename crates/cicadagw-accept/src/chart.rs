//! The names of the chart of acceptance, and the chart itself.

use std::sync::LazyLock;

use cicadagw_chart::{Chart, names};

/// The chart as it stands in its file.
const TEXT: &str = include_str!("../../../charts/accept.jsonc");

/// The chart of acceptance.
pub type Accept = Chart<State, Signal, Guard, Action>;

/// Returns the chart; it is read once.
pub fn chart() -> &'static Accept {
    static CHART: LazyLock<Accept> = LazyLock::new(|| {
        Chart::load("charts/accept.jsonc", TEXT)
            .unwrap_or_else(|findings| panic!("the embedded chart is wrong:\n{findings}"))
    });
    &CHART
}

names! {
    /// How far an acceptance is.
    pub enum State {
        /// The head is being read.
        Reading = "reading",
        /// The contents that the change builds on are being read.
        Loading = "loading",
        /// The parts are being written.
        Writing = "writing",
        /// The update of the head is under way.
        Moving = "moving",
        /// The head is read to learn what became of the update.
        Resolving = "resolving",
        /// There is an outcome.
        Ended = "ended",
    }
}

names! {
    /// What the platform answered.
    pub enum Signal {
        /// The head, or that there is none.
        Head = "head",
        /// The contents that the change builds on.
        Loaded = "loaded",
        /// All parts are there.
        Written = "written",
        /// The update of the head took effect.
        Moved = "moved",
        /// The answer to a write was lost.
        Lost = "lost",
        /// The head was not as the update wanted it.
        Conflict = "conflict",
        /// The platform did not take the call.
        Unavailable = "unavailable",
    }
}

names! {
    /// What must hold for a transition.
    pub enum Guard {
        /// The head's history names the change id, for something else.
        Reused = "reused",
        /// The head's history names the change.
        Known = "known",
        /// Another change stands where this one was to stand.
        Overtaken = "overtaken",
        /// The history no longer reaches back to where the change was to stand.
        Forgotten = "forgotten",
        /// The candidate cannot be built or has faults.
        Faulty = "faulty",
        /// Nothing is to be written.
        Trial = "trial",
        /// An update may have taken effect unseen.
        Doubtful = "doubtful",
        /// It may be tried again.
        TriesLeft = "tries-left",
    }
}

names! {
    /// What is to be done.
    pub enum Action {
        /// Read the head.
        ReadHead = "read-head",
        /// Read what the change builds on.
        LoadContents = "load-contents",
        /// Write the parts.
        WriteParts = "write-parts",
        /// Update the head on its condition.
        MoveHead = "move-head",
        /// Remember that an update may have taken effect unseen.
        NoteDoubt = "note-doubt",
        /// Let some time pass before the next try.
        Pause = "pause",
        /// Make sure of the parts, and remove those that nothing names any more.
        Tidy = "tidy",
        /// End: the change was accepted.
        ReportAccepted = "report-accepted",
        /// End: the change had been accepted before.
        ReportKnown = "report-known",
        /// End: the change could be accepted.
        ReportTrial = "report-trial",
        /// End: another change came first.
        ReportConflict = "report-conflict",
        /// End: the platform cannot be used, and nothing changed.
        ReportUnavailable = "report-unavailable",
        /// End: the change may or may not have been accepted.
        ReportUnknown = "report-unknown",
        /// End: the change id belongs to another change.
        RefuseReuse = "refuse-reuse",
        /// End: the change is wrong.
        RefuseFaults = "refuse-faults",
    }
}
