//! The state chart of a node's share of a quota, as `charts/quota.jsonc` defines it.

use std::sync::LazyLock;

use cicadagw_chart::names;

names! {
    /// What a node knows of a quota.
    pub enum State {
        /// An owner has tokens, or has not been asked yet.
        Open = "open",
        /// Every owner that answers has no tokens.
        Short = "short",
        /// No owner answers.
        Silent = "silent",
    }
}

names! {
    /// What the answers of the owners, or their absence, tell.
    pub enum Event {
        /// An owner has answered that it has no tokens left.
        Answered = "answered",
        /// An owner has answered, and has tokens left.
        Met = "met",
        /// The answers of the owners are too old to tell anything.
        Outdated = "outdated",
        /// No owner is left to ask, and none has answered.
        Unanswered = "unanswered",
        /// No owner is left to ask, and at least one has answered that it has no tokens.
        Unmet = "unmet",
    }
}

names! {
    /// The guards of this chart; it has none.
    pub enum Guard {}
}

names! {
    /// The actions of this chart; it has none.
    pub enum Action {}
}

/// The state chart of a node's share of a quota.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Returns the state chart of a node's share of a quota, parsed once.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../../charts/quota.jsonc");
        Chart::load("charts/quota.jsonc", text).expect("the embedded chart is checked by a test")
    });
    &CHART
}
