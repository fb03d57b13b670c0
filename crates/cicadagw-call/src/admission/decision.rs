//! Decisions of admission control.

use cicadagw_unit::time::Span;
use smallvec::SmallVec;

/// Identifies one call at one backend server; never reused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct Ticket(pub(super) u64);

/// The decision about a call on arrival.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call starts at once.
    Start,
    /// The call is queued, and may displace another queued call.
    Queue {
        /// The queued call that is shed to make room.
        displaced: Option<Ticket>,
    },
    /// The call is shed: the queue is full, or the call would not be answered in time here. The
    /// caller's node may try another endpoint.
    Shed,
    /// The backend server names a rate limit that does not allow the call now. The caller's node may
    /// try another endpoint.
    Limited {
        /// The time after which the limit allows the call.
        wait: Span,
    },
    /// The call is refused because its deadline passed before it arrived.
    Expired,
}

/// The decisions about queued calls after a running call has ended or the slots have changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Release {
    /// The calls that start now.
    pub started: SmallVec<[Ticket; 2]>,
    /// The calls that are refused because too little time is left before their deadlines. Unlike a
    /// call that is shed, such a call is not tried at another endpoint.
    pub expired: SmallVec<[Ticket; 2]>,
    /// The calls that are shed because they are far past their soft deadlines and other calls go
    /// first.
    pub shed: SmallVec<[Ticket; 2]>,
}
