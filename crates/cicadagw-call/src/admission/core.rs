//! The calls of one backend server.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};

use super::place::{Constraints, Key, Waiting};
use super::verdict::{Decision, Release, Ticket};
use crate::Load;
use crate::average::smooth;

/// The calls of one backend server: those that run, and a short queue.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: Slots,
    running: u32,
    running_by_policy: BTreeMap<id::Policy, u32>,
    queue: BTreeMap<Key, Waiting>,
    /// How long a call takes, whatever its policy.
    typical: Span,
    /// How long a call under each policy takes.
    work: BTreeMap<id::Policy, Span>,
    /// How large the answers to calls under each policy are, in bytes.
    sizes: BTreeMap<id::Policy, u64>,
    /// The longest declared latency of a call so far.
    longest: Span,
    last: Ticket,
}

/// How many times shorter than the longest the declared latency of a brief call is at least.
const BRIEF: u64 = 4;

/// From which size on an answer waits for its turn on the link.
const LARGE: Bytes = crate::pacing::UNPACED_MAX;

/// How much of the time up to its target a call of each rank may spend waiting for a place, in
/// thousandths; the last one holds for all ranks beyond.
const WAIT_SHARES: [u64; 3] = [900, 700, 350];

/// The share of that time after which a call is due, whatever its rank, in thousandths.
const DUE_SHARE: u64 = 350;

/// How much of that time may go for the place and the link together, in thousandths.
const LINK_SHARE: u64 = 800;

/// The least time that a call may wait although its target is near or past: about what one more try
/// at another node would take.
const WAIT_MIN: Span = Span::new(40);

/// How much of the typical work must fit before the deadline for a call to start, in thousandths:
/// what runs into its deadline is work for nothing.
const WORK_SHARE: u64 = 700;

impl Admission {
    /// Creates the admission of a backend server that runs `slots` calls at once.
    pub const fn new(slots: Slots) -> Self {
        Self {
            slots,
            running: 0,
            running_by_policy: BTreeMap::new(),
            queue: BTreeMap::new(),
            typical: Span::new(0),
            work: BTreeMap::new(),
            sizes: BTreeMap::new(),
            longest: Span::new(0),
            last: Ticket(0),
        }
    }

    /// Changes how many calls the backend server runs at once.
    pub fn resize(&mut self, now: Timestamp, slots: Slots) -> Release {
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
    /// When the queue is full, a call that is late already makes room, else the one with the most
    /// time left to be tried elsewhere.
    pub fn offer(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        limit: Constraints,
    ) -> (Ticket, Decision) {
        self.last = Ticket(self.last.0 + 1);
        let ticket = self.last;
        self.longest = self.longest.max(limit.target_latency.unwrap_or_default());
        let key = Key {
            is_long: !self.is_brief(&limit),
            due: self.due(now, deadline, &limit),
            ticket,
        };
        let call = Waiting {
            latest: self.latest_start(deadline, &limit),
            deadline,
            limit,
        };
        let verdict = self.judge(now, key, &call);
        match verdict {
            Decision::Start => self.begin(call.limit.policy),
            Decision::Queue { displaced } => {
                self.queue.retain(|key, _| Some(key.ticket) != displaced);
                self.queue.insert(key, call);
            }
            Decision::Shed | Decision::Expired => {}
        }
        (ticket, verdict)
    }

    /// Takes note that a running call of `policy` has ended after `spent`.
    pub fn finish(&mut self, now: Timestamp, policy: &id::Policy, spent: Span) -> Release {
        self.measure(policy, spent);
        self.end(now, policy)
    }

    /// Takes note that a running call of `policy` has ended without an answer after `spent`. It would
    /// have taken longer: that tells something only if it took longer than others already.
    pub fn abandon(&mut self, now: Timestamp, policy: &id::Policy, spent: Span) -> Release {
        if spent > self.work(policy) {
            self.measure(policy, spent);
        }
        self.end(now, policy)
    }

    /// Takes note of how large an answer to a call under `policy` is.
    pub fn record_size(&mut self, policy: &id::Policy, size: Bytes) {
        let known = self.sizes.entry(policy.clone()).or_insert(size.get());
        *known = smooth(*known, size.get());
    }

    fn measure(&mut self, policy: &id::Policy, spent: Span) {
        self.typical = learned(self.typical, spent);
        let work = self.work.entry(policy.clone()).or_default();
        *work = learned(*work, spent);
    }

    fn end(&mut self, now: Timestamp, policy: &id::Policy) -> Release {
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
        self.queue.retain(|key, _| key.ticket != ticket);
        self.queue.len() < held
    }

    /// Refuses all that wait.
    pub fn close(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.queue)
            .into_keys()
            .map(|key| key.ticket)
            .collect()
    }

    fn judge(&self, now: Timestamp, key: Key, call: &Waiting) -> Decision {
        let limit = &call.limit;
        if now >= call.deadline {
            return Decision::Expired;
        }
        let room = self.has_room(limit);
        let work = self.work(&limit.policy);
        if self.typical.get() > 0 && now.after(share(work, WORK_SHARE)) >= call.deadline {
            return Decision::Shed;
        }
        let link = self.link_wait(limit);
        if room && self.queue.is_empty() && link.get() == 0 {
            return Decision::Start;
        }
        let wait = if room {
            Span::new(0)
        } else {
            self.wait(now, key, call)
        };
        let is_over = now.after(wait).after(link).after(work) >= call.deadline;
        if is_over || !is_bearable(now, work, wait, link, limit) {
            return Decision::Shed;
        }
        if room {
            return Decision::Start;
        }
        let mut rivals = self
            .queue
            .iter()
            .filter(|(_, held)| held.limit.policy == limit.policy);
        if rivals.clone().count() < limit.queue.get() as usize {
            return Decision::Queue { displaced: None };
        }
        let late = rivals.clone().find(|(key, held)| held.is_late(now, **key));
        match late.or_else(|| rivals.next_back()) {
            Some((victim, held)) if *victim > key || held.is_late(now, *victim) => {
                Decision::Queue {
                    displaced: Some(victim.ticket),
                }
            }
            _ => Decision::Shed,
        }
    }

    fn begin(&mut self, policy: id::Policy) {
        self.running += 1;
        *self.running_by_policy.entry(policy).or_default() += 1;
    }

    /// Returns how long the answer to such a call waits for the link.
    fn link_wait(&self, limit: &Constraints) -> Span {
        let size = self.sizes.get(&limit.policy).copied().unwrap_or(0);
        if size > LARGE.get() {
            limit.link_backlog
        } else {
            Span::new(0)
        }
    }

    /// Tells whether such a call is to be answered far sooner than others here.
    fn is_brief(&self, limit: &Constraints) -> bool {
        let longest = self.longest.get();
        limit
            .target_latency
            .is_some_and(|latency| latency.times(BRIEF).get() <= longest)
    }

    /// Returns when a call must start at the latest to be answered by its target.
    fn latest_start(&self, deadline: Timestamp, limit: &Constraints) -> Timestamp {
        let work = self.least_work(&limit.policy);
        limit
            .soft_deadline
            .map_or(deadline, |target| target.before(work))
    }

    /// Returns by when a call that arrives now is to start. Where all wait until they hardly meet their
    /// targets, those that then take longer than usual miss them, so it is well before that.
    fn due(&self, now: Timestamp, deadline: Timestamp, limit: &Constraints) -> Timestamp {
        let work = self.work(&limit.policy);
        let due = |target: Timestamp| now.after(share(spare(now, work, target), DUE_SHARE));
        limit.soft_deadline.map_or(deadline, due)
    }

    /// Starts what may start, and refuses what cannot be answered before its deadline. Brief calls
    /// go first, then those that can still meet their targets, the first due before the others.
    fn advance(&mut self, now: Timestamp) -> Release {
        let mut release = Release::default();
        let queue = std::mem::take(&mut self.queue);
        let (late, timely): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|(key, waiting)| waiting.is_late(now, *key));
        for (key, waiting) in timely.into_iter().chain(late) {
            if waiting.deadline <= now.after(self.least_work(&waiting.limit.policy)) {
                release.expired.push(key.ticket);
            } else if waiting.is_late(now, key)
                && waiting.is_hopeless(now)
                && !self.has_room(&waiting.limit)
            {
                release.shed.push(key.ticket);
            } else if self.has_room(&waiting.limit) {
                self.begin(waiting.limit.policy);
                release.started.push(key.ticket);
            } else {
                self.queue.insert(key, waiting);
            }
        }
        release
    }

    fn has_room(&self, limit: &Constraints) -> bool {
        let of_policy = self.running_by_policy.get(&limit.policy);
        self.running < self.slots.get()
            && of_policy.is_none_or(|count| *count < limit.concurrency.get())
    }

    /// Returns how long a call waits for a place, as far as is known: until those that run and those that
    /// go before it have worked. Waiting calls that are late do so only if it is late itself.
    fn wait(&self, now: Timestamp, key: Key, call: &Waiting) -> Span {
        let is_late = call.is_late(now, key);
        let goes_before = |(other, held): &(&Key, &Waiting)| {
            is_late || (**other < key && !held.is_late(now, **other))
        };
        let before = self.queue.iter().filter(goes_before);
        let ahead: u64 = before
            .map(|(_, held)| self.work(&held.limit.policy).get())
            .sum();
        let room = self.slots.get().min(call.limit.concurrency.get()).max(1);
        Span::new((self.mean_work().get() + ahead) / u64::from(room))
    }

    /// Returns how long a call of those that run takes, as far as is known.
    fn mean_work(&self) -> Span {
        let all: u64 = self
            .running_by_policy
            .iter()
            .map(|(policy, count)| u64::from(*count) * self.work(policy).get())
            .sum();
        let mean = all.checked_div(u64::from(self.running));
        mean.map_or(self.typical, Span::new)
    }

    /// Returns how long a call under `policy` runs, as far as is known.
    fn work(&self, policy: &id::Policy) -> Span {
        self.work.get(policy).copied().unwrap_or(self.typical)
    }

    /// Returns how much time must be left for a call under `policy` to start.
    fn least_work(&self, policy: &id::Policy) -> Span {
        share(self.work(policy), WORK_SHARE)
    }
}

/// Tells whether a call that then works for `work` may wait so long for its place and for the link.
fn is_bearable(now: Timestamp, work: Span, wait: Span, link: Span, limit: &Constraints) -> bool {
    let Some(target) = limit.soft_deadline else {
        return true;
    };
    let spare = spare(now, work, target);
    let rank = usize::from(limit.priority.get()).min(WAIT_SHARES.len() - 1);
    wait <= share(spare, WAIT_SHARES[rank]).max(WAIT_MIN)
        && wait.plus(link) <= share(spare, LINK_SHARE).max(WAIT_MIN)
}

/// Returns how much time is left up to `target` beside `work`.
fn spare(now: Timestamp, work: Span, target: Timestamp) -> Span {
    Span::new(target.since(now).get().saturating_sub(work.get()))
}

fn share(span: Span, thousandths: u64) -> Span {
    Span::new(span.get() * thousandths / 1_000)
}

/// Returns the running average `old` with `new` taken in; the first measurement stands alone.
fn learned(old: Span, new: Span) -> Span {
    match old.get() {
        0 => new,
        old => Span::new(smooth(old, new.get())),
    }
}
