//! The state machine of a client connection; `charts/connection.jsonc` defines its transitions.

use std::sync::LazyLock;

use cicadagw_chart::names;

names! {
    /// The state of a client connection.
    pub enum State {
        /// No request is in flight.
        Idle = "idle",
        /// A request was sent, at least in part, and its response head has not arrived.
        Awaiting = "awaiting",
        /// As `awaiting`, but a stale response to an earlier request arrived first.
        OutOfSync = "out-of-sync",
        /// The response body is being read.
        Receiving = "receiving",
        /// As `receiving`, after a stale response: the connection must not be reused afterwards.
        ReceivingLast = "receiving-last",
        /// The connection must not be reused.
        Unusable = "unusable",
    }
}

names! {
    /// An event on a client connection.
    pub enum Event {
        /// The client starts to send a request.
        Send = "send",
        /// The head of the response to the request in flight arrived.
        Head = "head",
        /// The head of a stale response, which belongs to an earlier request, arrived.
        Stale = "stale",
        /// The body of the response is complete.
        Whole = "whole",
        /// The connection cannot be used any longer: it ended, or received an invalid response or
        /// unsolicited bytes.
        Broken = "broken",
    }
}

names! {
    /// A condition for reusing a connection.
    pub enum Guard {
        /// Both sides keep the connection alive, the whole request was sent, and no unread bytes
        /// are left.
        Reusable = "reusable",
    }
}

names! {
    /// The chart has no actions; the state alone decides whether a connection is reused.
    pub enum Action {}
}

/// The state chart of a client connection.
pub type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// Returns the state chart of a client connection.
pub fn chart() -> &'static Chart {
    static CHART: LazyLock<Chart> = LazyLock::new(|| {
        let text = include_str!("../../../charts/connection.jsonc");
        Chart::load("charts/connection.jsonc", text)
            .expect("the embedded chart is checked by a test")
    });
    &CHART
}

/// Moves a client connection; `is_reusable` says whether it can serve another request.
pub(crate) fn step(state: State, event: Event, is_reusable: bool) -> State {
    chart()
        .step(state, event, |guard| match guard {
            Guard::Reusable => is_reusable,
        })
        .to
}
