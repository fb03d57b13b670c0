//! Replays a load pattern against the admission control of one backend server, in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use cicadagw_call::Admission;
use cicadagw_call::admission::{Constraints, Decision, Release, Ticket};
use cicadagw_call::refusal::Prospect;
use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The seed of all replays.
const SEED: u64 = 7;

/// The queue bound of every policy; the expected wait sheds calls well before it is reached.
const QUEUE: Slots = Slots::new(64);

/// Calls of one kind.
#[derive(Clone, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) account: Option<&'static str>,
    pub(crate) account_priority: Option<u8>,
    pub(crate) priority: u8,
    /// The average work time in milliseconds; single calls take half to one and a half times that.
    pub(crate) work_ms: u64,
    pub(crate) target_ms: u64,
    pub(crate) timeout_ms: u64,
    /// How long a caller waits in all, with its retries.
    pub(crate) deadline_ms: u64,
    /// How often a refused caller comes back.
    pub(crate) retries: u8,
    /// The calls per second at each millisecond of the replay.
    pub(crate) rate: fn(u64) -> u64,
}

/// What became of the calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) offered: u64,
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    /// Calls whose callers were refused and did not come back.
    pub(crate) refused: u64,
    /// The longest time for which a call was queued before it was refused.
    pub(crate) held_max_ms: u64,
}

impl Tally {
    /// Returns the share of the calls that were answered, in thousandths.
    pub(crate) fn served_permille(self) -> u64 {
        (self.in_time + self.late) * 1_000 / self.offered.max(1)
    }
}

/// One call of a replay.
#[derive(Clone, Debug)]
struct Call {
    kind: usize,
    work: Span,
    first_arrival: Timestamp,
    arrival: Timestamp,
    retries: u8,
}

/// Returns how long the caller of a refused call waits before it comes back.
pub(crate) type Return = fn(&Prospect, Timestamp, u64) -> Span;

struct Replay<'k> {
    kinds: &'k [Kind],
    admission: Admission,
    queued: BTreeMap<Ticket, Call>,
    /// When running calls end, with their number in `running`.
    ends: BinaryHeap<Reverse<(Timestamp, usize)>>,
    running: Vec<Call>,
    /// Callers that come back, by time.
    returns: BTreeMap<(Timestamp, u64), Call>,
    return_time: Return,
    rng: StdRng,
    tallies: Vec<Tally>,
}

/// Offers calls of `kinds` to a backend server with `slots` for `duration`; returns a tally for each
/// kind.
pub(crate) fn replay(
    slots: u32,
    duration: Span,
    kinds: &[Kind],
    return_time: Return,
) -> Vec<Tally> {
    let mut replay = Replay {
        kinds,
        admission: Admission::new(Slots::new(slots)),
        queued: BTreeMap::new(),
        ends: BinaryHeap::new(),
        running: Vec::new(),
        returns: BTreeMap::new(),
        return_time,
        rng: StdRng::seed_from_u64(SEED),
        tallies: vec![Tally::default(); kinds.len()],
    };
    let mut arrivals = StdRng::seed_from_u64(SEED);
    for millisecond in 0..duration.get() {
        let now = Timestamp::new(millisecond);
        replay.end_calls(now);
        replay.come_back(now);
        replay.check_slots();
        for (index, kind) in kinds.iter().enumerate() {
            // Ten chances in each millisecond approximate a Poisson process.
            for _ in 0..10 {
                if arrivals.random_range(0..10_000) < (kind.rate)(millisecond) {
                    let work = kind.work_ms / 2 + arrivals.random_range(0..=kind.work_ms);
                    replay.tallies[index].offered += 1;
                    replay.offer(Call {
                        kind: index,
                        work: Span::new(work),
                        first_arrival: now,
                        arrival: now,
                        retries: kind.retries,
                    });
                }
            }
        }
    }
    replay.tallies
}

impl Replay<'_> {
    fn offer(&mut self, call: Call) {
        let (kind, now) = (&self.kinds[call.kind], call.arrival);
        let after = |milliseconds| call.first_arrival.after(Span::new(milliseconds));
        let constraints = Constraints {
            account: kind.account.map(|name| name.parse().unwrap()),
            policy: kind.name.parse().unwrap(),
            concurrency: Slots::new(1_000),
            queue: QUEUE,
            priority: Priority::new(kind.account_priority.unwrap_or(kind.priority)),
            policy_priority: Priority::new(kind.priority),
            soft_deadline: Some(after(kind.target_ms)),
            target_latency: Some(Span::new(kind.target_ms)),
            link_backlog: Span::new(0),
        };
        let deadline = now
            .after(Span::new(kind.timeout_ms))
            .min(after(kind.deadline_ms));
        let (ticket, decision) = self.admission.offer(now, deadline, constraints);
        match decision {
            Decision::Start => self.start(now, call),
            Decision::Queue { displaced } => {
                if let Some(displaced) = displaced {
                    self.refuse_queued(now, displaced);
                }
                self.queued.insert(ticket, call);
            }
            Decision::Shed | Decision::Limited { .. } | Decision::Expired => {
                self.refuse(now, call);
            }
        }
    }

    fn start(&mut self, now: Timestamp, call: Call) {
        let end = (now.after(call.work), self.running.len());
        self.ends.push(Reverse(end));
        self.running.push(call);
    }

    /// Checks that no slot runs two calls, and that none is idle while a call waits.
    fn check_slots(&self) {
        let slots = self.admission.load().slots.get() as usize;
        assert!(self.ends.len() <= slots);
        assert!(self.queued.is_empty() || self.ends.len() == slots);
    }

    fn refuse_queued(&mut self, now: Timestamp, ticket: Ticket) {
        let call = self.queued.remove(&ticket).expect("the call is queued");
        let held = now.since(call.arrival).get();
        let tally = &mut self.tallies[call.kind];
        tally.held_max_ms = tally.held_max_ms.max(held);
        self.refuse(now, call);
    }

    fn refuse(&mut self, now: Timestamp, mut call: Call) {
        if call.retries == 0 {
            self.tallies[call.kind].refused += 1;
            return;
        }
        let kind = &self.kinds[call.kind];
        let deadline = call.first_arrival.after(Span::new(kind.deadline_ms));
        let prospect = Prospect {
            has_returned: call.retries < kind.retries,
            soft_deadline: Some(call.first_arrival.after(Span::new(kind.target_ms))),
            deadline: Some(deadline),
            work: Span::new(kind.work_ms),
        };
        // Callers wait for a third of the time that they have left at most.
        let longest = Span::new(deadline.since(now).get() / 3);
        let wait = (self.return_time)(&prospect, now, self.rng.random()).min(longest);
        call.arrival = now.after(wait);
        call.retries -= 1;
        let number = self.rng.random();
        self.returns.insert((call.arrival, number), call);
    }

    fn come_back(&mut self, now: Timestamp) {
        while let Some(entry) = self.returns.first_entry()
            && entry.key().0 <= now
        {
            let call = entry.remove();
            self.offer(call);
        }
    }

    fn end_calls(&mut self, now: Timestamp) {
        while let Some(Reverse((at, number))) = self.ends.peek().copied()
            && at <= now
        {
            self.ends.pop();
            let call = &self.running[number];
            let kind = &self.kinds[call.kind];
            let latency = now.since(call.first_arrival).get();
            let tally = &mut self.tallies[call.kind];
            if latency <= kind.target_ms {
                tally.in_time += 1;
            } else if now.since(call.arrival).get() <= kind.timeout_ms {
                tally.late += 1;
            }
            let policy: id::Policy = kind.name.parse().unwrap();
            let work = call.work;
            let release = self.admission.finish(now, &policy, work);
            self.apply(now, release);
        }
    }

    fn apply(&mut self, now: Timestamp, release: Release) {
        for ticket in release.expired.into_iter().chain(release.shed) {
            self.refuse_queued(now, ticket);
        }
        for ticket in release.started {
            let call = self.queued.remove(&ticket).expect("the call is queued");
            self.start(now, call);
        }
    }
}
