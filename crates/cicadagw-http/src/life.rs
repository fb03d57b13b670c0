//! The life of a connection to a server, as `charts/connection.jsonc` lays it down.

use std::sync::LazyLock;

use cicadagw_chart::names;

names! {
    /// Where a connection stands.
    pub enum State {
        /// Nothing is under way.
        Idle = "idle",
        /// A request was sent, or a part of it, and its answer is awaited.
        Awaiting = "awaiting",
        /// As `awaiting`, after an answer that belongs to another request.
        Suspect = "suspect",
        /// The body of the answer is being read.
        Receiving = "receiving",
        /// As `receiving`, and the connection will not be used again.
        ReceivingLast = "receiving-last",
        /// The connection is not used again.
        Spent = "spent",
    }
}

names! {
    /// What happens on a connection.
    pub enum Event {
        /// A request begins to go out.
        Send = "send",
        /// The head of the awaited answer came.
        Head = "head",
        /// The head of an answer to another request came.
        Foreign = "foreign",
        /// The body of the awaited answer is whole.
        Whole = "whole",
        /// The connection ended, or brought bytes that are no answer.
        Broken = "broken",
    }
}

names! {
    /// What must be true for a connection to be used again.
    pub enum Guard {
        /// Both sides agreed to go on, the whole request was sent, and no bytes are left over.
        Reusable = "reusable",
    }
}

names! {
    /// Nothing is to be done but to follow the state.
    pub enum Action {}
}

/// The chart of a connection.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Returns the chart of a connection.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../charts/connection.jsonc");
        Chart::load("charts/connection.jsonc", text)
            .expect("the embedded chart is checked by a test")
    });
    &CHART
}
