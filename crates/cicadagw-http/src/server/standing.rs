//! What connections wait for, and which of them is closed to make room.
//!
//! The loads that this answers: more connections than a node has descriptors for, and clients that
//! do not read responses or do not finish requests while memory is scarce.

use std::time::Duration;

/// How long a client may make a connection wait before the connection may be closed to make room.
const STALL_MIN: Duration = Duration::from_secs(2);

/// How long the rest of a head may be missing before the connection may be closed to make room for
/// another.
const HALF_HEAD_MIN: Duration = Duration::from_millis(500);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The first byte of a request.
    Idle,
    /// The rest of a request.
    Receiving,
    /// The client, which does not accept a response.
    Blocked,
    /// The response of the service.
    Working,
}

/// A connection, as far as it matters for closing it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The number of requests in flight.
    pub in_flight: usize,
    /// What the connection waits for.
    pub standing: Standing,
    /// How long it has waited for that.
    pub waited: Duration,
}

impl Candidate {
    /// Returns whether the head of the only request is incomplete for too long.
    fn has_half_head(&self) -> bool {
        self.standing == Standing::Receiving && self.in_flight == 0 && self.waited >= HALF_HEAD_MIN
    }

    /// Returns whether the client makes the connection wait for too long.
    fn is_stalled(&self) -> bool {
        match self.standing {
            Standing::Receiving | Standing::Blocked => self.waited >= STALL_MIN,
            Standing::Idle | Standing::Working => false,
        }
    }
}

/// Returns the index of the connection to close when there is no room for another connection: the
/// one that has been idle for longest, or else the one whose head has been incomplete for longest, or
/// else a stalled one.
pub fn victim_for_connection(candidates: &[Candidate]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let idle = all.filter(|(_, candidate)| candidate.standing == Standing::Idle);
    let half_heads = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.has_half_head());
    idle.max_by_key(|(_, candidate)| candidate.waited)
        .or_else(|| half_heads.max_by_key(|(_, candidate)| candidate.waited))
        .map(|(index, _)| index)
        .or_else(|| victim_for_memory(candidates))
}

/// Returns the index of the connection to close when memory is scarce: the stalled one with the
/// most requests in flight. A request whose client waits for its response is never cut off.
pub fn victim_for_memory(candidates: &[Candidate]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let stalled = all.filter(|(_, candidate)| candidate.is_stalled());
    stalled
        .max_by_key(|(_, candidate)| (candidate.in_flight, candidate.waited))
        .map(|(index, _)| index)
}
