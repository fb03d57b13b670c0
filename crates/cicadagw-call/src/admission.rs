//! Which call a backend server may start, and which waits or is refused.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
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

/// How many calls of a policy one backend server may run and have waiting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Limit {
    /// The policy.
    pub policy: id::Policy,
    /// How many calls run at once.
    pub concurrency: Slots,
    /// How many calls wait.
    pub queue: Slots,
    /// The rank among the calls that wait.
    pub rank: Priority,
}

/// Where a waiting call stands: by rank, then by deadline.
type Key = (Priority, Moment, Ticket);

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

/// The calls of one backend server: those that run, and a short queue with the first rank first, and
/// within a rank the earliest deadline.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: Slots,
    running: u32,
    running_by_policy: BTreeMap<id::Policy, u32>,
    queue: BTreeMap<Key, Limit>,
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
            running_by_policy: BTreeMap::new(),
            queue: BTreeMap::new(),
            typical: Span::new(0),
            last: Ticket(0),
        }
    }

    /// Changes how many calls the backend server runs at once.
    pub fn resize(&mut self, now: Moment, slots: Slots) -> Release {
        self.slots = slots;
        self.advance(now)
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
        let verdict = self.judge(now, (limit.rank, deadline, ticket), &limit);
        match verdict {
            Verdict::Run => self.begin(limit.policy),
            Verdict::Wait { shed } => {
                self.queue.retain(|key, _| Some(key.2) != shed);
                self.queue.insert((limit.rank, deadline, ticket), limit);
            }
            Verdict::Shed | Verdict::Late => {}
        }
        (ticket, verdict)
    }

    /// Takes note that a running call of `policy` has ended after `spent`.
    pub fn finish(&mut self, now: Moment, policy: &id::Policy, spent: Span) -> Release {
        let old = self.typical.get();
        let sum = old * (SMOOTHING - 1) + spent.get();
        self.typical = Span::new(if old == 0 {
            spent.get()
        } else {
            sum / SMOOTHING
        });
        self.abandon(now, policy)
    }

    /// Takes note that a running call of `policy` has ended without an answer, which says nothing of
    /// the time that calls take.
    pub fn abandon(&mut self, now: Moment, policy: &id::Policy) -> Release {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = self.running_by_policy.get_mut(policy) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running_by_policy.remove(policy);
            }
        }
        self.advance(now)
    }

    /// Takes a call out that waits no longer; tells whether it did wait.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let held = self.queue.len();
        self.queue.retain(|key, _| key.2 != ticket);
        self.queue.len() < held
    }

    /// Refuses all that wait.
    pub fn close(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.queue)
            .into_keys()
            .map(|(_, _, ticket)| ticket)
            .collect()
    }

    fn judge(&self, now: Moment, key: Key, limit: &Limit) -> Verdict {
        let deadline = key.1;
        if now >= deadline {
            return Verdict::Late;
        }
        if self.has_room(limit) {
            return Verdict::Run;
        }
        let ahead = self.queue.range(..key).count();
        if now.after(self.wait(ahead, limit)) >= deadline {
            return Verdict::Shed;
        }
        let mut rivals = self
            .queue
            .iter()
            .filter(|(_, held)| held.policy == limit.policy);
        if rivals.clone().count() < limit.queue.get() as usize {
            return Verdict::Wait { shed: None };
        }
        match rivals.next_back() {
            Some((latest, _)) if *latest > key => Verdict::Wait {
                shed: Some(latest.2),
            },
            _ => Verdict::Shed,
        }
    }

    fn begin(&mut self, policy: id::Policy) {
        self.running += 1;
        *self.running_by_policy.entry(policy).or_default() += 1;
    }

    /// Starts what may start, earliest deadline first, and refuses what can no longer be in time.
    fn advance(&mut self, now: Moment) -> Release {
        let mut release = Release::default();
        for (key, limit) in std::mem::take(&mut self.queue) {
            let (_, deadline, ticket) = key;
            if deadline <= now {
                release.late.push(ticket);
            } else if self.has_room(&limit) {
                self.begin(limit.policy);
                release.run.push(ticket);
            } else {
                self.queue.insert(key, limit);
            }
        }
        release
    }

    fn has_room(&self, limit: &Limit) -> bool {
        let of_policy = self.running_by_policy.get(&limit.policy);
        self.running < self.slots.get()
            && of_policy.is_none_or(|count| *count < limit.concurrency.get())
    }

    /// Returns how long a call with `ahead` calls before it waits and runs, as far as is known.
    fn wait(&self, ahead: usize, limit: &Limit) -> Span {
        let room = self.slots.get().min(limit.concurrency.get()).max(1);
        let rounds = (ahead as u64 + 1).div_ceil(u64::from(room));
        self.typical.times(rounds)
    }
}
