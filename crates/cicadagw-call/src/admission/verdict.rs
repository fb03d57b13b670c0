//! What becomes of calls at a backend server.

use smallvec::SmallVec;

/// Names one call at one backend server; never used twice.
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

/// What becomes of a call that arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It starts at once.
    Start,
    /// It waits, and its place may have been another call's.
    Queue {
        /// The call that is refused in its stead.
        displaced: Option<Ticket>,
    },
    /// It is refused: the queue is full, or the call would not be answered in time here.
    Shed,
    /// It is refused: its time is over.
    Expired,
}

/// What becomes of waiting calls after one has ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Release {
    /// Those that start now.
    pub started: SmallVec<[Ticket; 2]>,
    /// Those that are refused since their time is over.
    pub expired: SmallVec<[Ticket; 2]>,
    /// Those that are refused since their targets are past and others go first.
    pub shed: SmallVec<[Ticket; 2]>,
}
