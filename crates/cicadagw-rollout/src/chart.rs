//! The state chart of a rollout, `charts/rollout.jsonc`.

use std::sync::LazyLock;

use cicadagw_chart::names;

names! {
    /// The phase of a rollout.
    pub enum Phase {
        /// No backend server of the target release accepts calls yet.
        Waiting = "waiting",
        /// A small share of the calls tests the target release.
        Observing = "observing",
        /// The share of the target release grows.
        Raising = "raising",
        /// The target release gets all calls; the others finish those in flight.
        Closing = "closing",
        /// The calls have moved to the target release.
        Done = "done",
        /// The target release gets no calls.
        RolledBack = "rolled-back",
    }
}

names! {
    /// What the leader of a rollout notices.
    pub enum Event {
        /// No backend server of the target release accepts calls.
        Absent = "absent",
        /// A backend server of the target release accepts calls.
        Present = "present",
        /// No backend server of another release accepts calls.
        Alone = "alone",
        /// The target release has stood the test, and it is time to raise its share.
        Proven = "proven",
        /// The current share has been in force for a step.
        Settled = "settled",
        /// No call is in flight at a backend server of another release.
        Quiet = "quiet",
        /// The target release is worse than the others.
        Bad = "bad",
        /// The time of the order is over.
        Overdue = "overdue",
    }
}

names! {
    /// A condition of a transition.
    pub enum Guard {
        /// The target release gets all calls.
        IsWhole = "is-whole",
    }
}

names! {
    /// An action that a transition asks for.
    pub enum Action {
        /// Give the target release the share that tests it.
        Observe = "observe",
        /// Raise the share of the target release by a step.
        Raise = "raise",
        /// Let the nodes beside the other backend servers refuse new calls.
        Close = "close",
        /// Report the rollout as done.
        Finish = "finish",
        /// Give the target release no more calls.
        Stop = "stop",
    }
}

/// The state chart of a rollout.
pub type Chart = cicadagw_chart::Chart<Phase, Event, Guard, Action>;

/// Returns the state chart of a rollout, parsed once.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../charts/rollout.jsonc");
        Chart::load("charts/rollout.jsonc", text).expect("the embedded chart is checked by a test")
    });
    &CHART
}
