//! Refused calls: when their callers are asked to come back, and those refused recently, so that a
//! retry keeps the time of its first arrival.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use cicadagw_config::account::KeyDigest;
use cicadagw_unit::time::{Span, Timestamp};

use crate::Reason;

/// How long the caller of a call that was shed is asked to wait before it retries: about as long as
/// a call takes, after which a slot is likely free.
const SLOT_WAIT: Span = Span::new(200);

/// How long after its start a node has usually learned the configuration and the endpoints, in a
/// fleet of hundreds of nodes that start together.
const DISCOVERY: Span = Span::new(800);

/// The time over which callers that came too early come back, so that they do not come together.
const RETURN_SPREAD: Span = Span::new(400);

/// The shortest time left for waiting in a queue with which a retry may still be in time.
const SLACK_MIN: Span = Span::new(100);

/// Callers wait for one part in this of what is left at most: half of the slack of a call that can
/// still be in time, and a third of the time before the caller's deadline, up to which callers heed
/// `retry-after`.
const SLACK_PARTS: u64 = 2;
const DEADLINE_PARTS: u64 = 3;

/// How many refused calls are kept: a few seconds of them at an overloaded node.
const HISTORY_MAX: usize = 2_048;

/// How far the deadline of a retried call may be from that of the refused call: the transit time of
/// a request.
const DEADLINE_TOLERANCE: Span = Span::new(60);

/// The parts of a request by which a retry is recognized.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Identity<'r> {
    /// The requested host.
    pub host: &'r str,
    /// The digest of the key that the caller presents: another account's call is no retry.
    pub key: Option<&'r KeyDigest>,
    /// The method.
    pub method: &'r [u8],
    /// The path and query.
    pub target: &'r [u8],
}

impl Identity<'_> {
    /// Returns a hash that has no meaning in other processes.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns how long the caller of a call that was refused for `reason` is asked to wait before it
/// retries. `uptime` is the time since the start of the node.
///
/// When all nodes have restarted together, a caller that comes back after the time of one call is
/// refused again and gives up; so it is asked to wait until the node knows where to send it.
pub fn retry_after(reason: Reason, uptime: Span, random: u64) -> Span {
    let discovery_left = DISCOVERY.get().saturating_sub(uptime.get());
    match reason {
        Reason::NoConfiguration | Reason::NoEndpoint | Reason::Gone | Reason::Unreachable
            if discovery_left > 0 =>
        {
            Span::new(discovery_left + random % RETURN_SPREAD.get()).max(SLOT_WAIT)
        }
        _ => SLOT_WAIT,
    }
}

/// The time that the caller of a refused call has left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prospect {
    /// Whether the caller has come back before and finds no room again.
    pub has_returned: bool,
    /// The time by which the response should arrive to be of full value, if there is one.
    pub soft_deadline: Option<Timestamp>,
    /// The caller's deadline, if it states one.
    pub deadline: Option<Timestamp>,
    /// The average work time of such a call; zero if it is not known.
    pub work: Span,
}

impl Prospect {
    /// Returns how long the caller is asked to wait at `now`, when a service has too little room.
    ///
    /// A call that can still be in time comes back once while it can. A later one, and one that was
    /// refused again, come back when the peak may be over. All are spread over half of the longest
    /// wait, so that those refused together do not come back together.
    pub fn return_wait(&self, now: Timestamp, random: u64) -> Span {
        let Some(soft_deadline) = self.soft_deadline else {
            return SLOT_WAIT;
        };
        let slack = soft_deadline
            .since(now)
            .get()
            .saturating_sub(self.work.get());
        let longest = match self.deadline {
            _ if slack >= SLACK_MIN.get() && !self.has_returned => slack / SLACK_PARTS,
            Some(deadline) => deadline.since(now).get() / DEADLINE_PARTS,
            None => SLOT_WAIT.get(),
        };
        let shortest = longest / 2;
        Span::new(shortest + random % (longest - shortest).max(1))
    }
}

/// The recently refused calls, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    refused: VecDeque<Refused>,
}

/// A call that was refused, as it is needed to recognize a retry.
#[derive(Clone, Copy, Debug)]
struct Refused {
    /// The digest of the request, which a retry repeats.
    digest: u64,
    /// The caller's deadline.
    deadline: Timestamp,
    /// When the caller made the call for the first time.
    first_arrival: Timestamp,
}

impl History {
    /// Records that a call was refused. Its request has `digest`, its caller made it for the first
    /// time at `first_arrival` and waits until `deadline`.
    pub fn record(&mut self, digest: u64, deadline: Timestamp, first_arrival: Timestamp) {
        if self.refused.len() == HISTORY_MAX {
            self.refused.pop_front();
        }
        self.refused.push_back(Refused {
            digest,
            deadline,
            first_arrival,
        });
    }

    /// Returns when a call that arrives now was made for the first time, if it was refused before,
    /// and removes that entry. A retry is recognized by its digest and by its deadline, which the
    /// caller keeps.
    pub fn take(&mut self, now: Timestamp, digest: u64, deadline: Timestamp) -> Option<Timestamp> {
        while self.refused.front().is_some_and(|call| call.deadline < now) {
            self.refused.pop_front();
        }
        let is_same = |call: &Refused| {
            let difference = call
                .deadline
                .since(deadline)
                .max(deadline.since(call.deadline));
            call.digest == digest && difference <= DEADLINE_TOLERANCE
        };
        let index = self.refused.iter().position(is_same)?;
        self.refused.remove(index).map(|call| call.first_arrival)
    }
}
