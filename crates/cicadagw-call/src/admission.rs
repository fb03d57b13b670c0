//! Which call a backend server may start, and which waits or is refused.

use std::collections::BTreeMap;

use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Moment, Span};
use smallvec::SmallVec;

use crate::Load;

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
pub struct Ticket(u64);

/// How many calls one backend server may run and have waiting, as the policy of a call says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// How many calls run at once.
    pub concurrency: Slots,
    /// How many calls wait.
    pub queue: Slots,
}

/// What becomes of a call that arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It starts at once.
    Run,
    /// It waits, and its place may have been another call's.
    Wait {
        /// The call that is refused in its stead.
        shed: Option<Ticket>,
    },
    /// It is refused: the queue is full, or the call would not be answered in time here.
    Shed,
    /// It is refused: its time is over.
    Late,
}

/// What becomes of waiting calls after one has ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Release {
    /// Those that start now.
    pub run: SmallVec<[Ticket; 2]>,
    /// Those that are refused since their time is over.
    pub late: SmallVec<[Ticket; 2]>,
}

/// The calls of one backend server: those that run, and a short queue with the earliest deadline
/// first.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: Slots,
    running: u32,
    queue: BTreeMap<(Moment, Ticket), Limit>,
    typical: Span,
    last: Ticket,
}

/// The share of a new measurement in the typical time of a call: one in this many.
const SMOOTHING: u64 = 8;

impl Admission {
    /// Creates the admission of a backend server that runs `slots` calls at once.
    pub const fn new(slots: Slots) -> Self {
        Self {
            slots,
            running: 0,
            queue: BTreeMap::new(),
            typical: Span::new(0),
            last: Ticket(0),
        }
    }

    /// Changes how many calls the backend server runs at once.
    pub const fn resize(&mut self, slots: Slots) {
        self.slots = slots;
    }

    /// Returns how busy the backend server is.
    pub fn load(&self) -> Load {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        Load {
            in_flight: Slots::new(self.running.saturating_add(waiting)),
            slots: self.slots,
        }
    }

    /// Returns how many calls wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes in a call that must be answered by `deadline`.
    ///
    /// When the queue is full, the call with the latest deadline makes room: it has the most time
    /// left to be tried elsewhere.
    pub fn offer(&mut self, now: Moment, deadline: Moment, limit: Limit) -> (Ticket, Verdict) {
        self.last = Ticket(self.last.0 + 1);
        let ticket = self.last;
        if now >= deadline {
            return (ticket, Verdict::Late);
        }
        if self.queue.is_empty() && self.has_room(limit) {
            self.running += 1;
            return (ticket, Verdict::Run);
        }
        let ahead = self.queue.range(..(deadline, ticket)).count();
        if now.after(self.wait(ahead, limit)) >= deadline {
            return (ticket, Verdict::Shed);
        }
        let is_full = self.queue.len() >= limit.queue.get() as usize;
        let shed = if is_full {
            match self.queue.last_key_value().map(|(key, _)| *key) {
                Some(key) if key.0 > deadline && limit.queue.get() > 0 => {
                    self.queue.remove(&key);
                    Some(key.1)
                }
                _ => return (ticket, Verdict::Shed),
            }
        } else {
            None
        };
        self.queue.insert((deadline, ticket), limit);
        (ticket, Verdict::Wait { shed })
    }

    /// Takes note that a running call has ended after `spent`.
    pub fn finish(&mut self, now: Moment, spent: Span) -> Release {
        let old = self.typical.get();
        let sum = old * (SMOOTHING - 1) + spent.get();
        self.typical = Span::new(if old == 0 {
            spent.get()
        } else {
            sum / SMOOTHING
        });
        self.abandon(now)
    }

    /// Takes note that a running call has ended without an answer, which says nothing of the time
    /// that calls take.
    pub fn abandon(&mut self, now: Moment) -> Release {
        self.running = self.running.saturating_sub(1);
        self.advance(now)
    }

    /// Takes a call out that waits no longer; tells whether it did wait.
    pub fn cancel(&mut self, deadline: Moment, ticket: Ticket) -> bool {
        self.queue.remove(&(deadline, ticket)).is_some()
    }

    /// Refuses all that wait.
    pub fn close(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.queue)
            .into_keys()
            .map(|(_, ticket)| ticket)
            .collect()
    }

    /// Starts what may start, earliest deadline first, and refuses what can no longer be in time.
    fn advance(&mut self, now: Moment) -> Release {
        let mut release = Release::default();
        while let Some(entry) = self.queue.first_entry() {
            let (deadline, ticket) = *entry.key();
            if deadline <= now {
                entry.remove();
                release.late.push(ticket);
                continue;
            }
            let limit = *entry.get();
            if !self.has_room(limit) {
                break;
            }
            self.queue.pop_first();
            self.running += 1;
            release.run.push(ticket);
        }
        release
    }

    fn has_room(&self, limit: Limit) -> bool {
        self.running < self.room(limit)
    }

    fn room(&self, limit: Limit) -> u32 {
        self.slots.get().min(limit.concurrency.get())
    }

    /// Returns how long a call with `ahead` calls before it waits and runs, as far as is known.
    fn wait(&self, ahead: usize, limit: Limit) -> Span {
        let room = u64::from(self.room(limit).max(1));
        let rounds = (ahead as u64 + 1).div_ceil(room);
        self.typical.times(rounds)
    }
}
