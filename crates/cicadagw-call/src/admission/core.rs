//! Admission control for one backend server.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};

use super::decision::{Decision, Release, Ticket};
use super::queue::{Constraints, Key, Waiting};
use crate::Load;
use crate::average::smooth;

/// Admission control for one backend server: its running calls and a short queue.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: Slots,
    running: u32,
    running_by_policy: BTreeMap<id::Policy, u32>,
    queue: BTreeMap<Key, Waiting>,
    /// The average work time of a call under any policy; zero before the first sample.
    typical_work: Span,
    /// The average work time of a call, by policy.
    work_by_policy: BTreeMap<id::Policy, Span>,
    /// The average response size in bytes, by policy.
    response_sizes: BTreeMap<id::Policy, u64>,
    /// The longest target latency of a call so far.
    longest_latency: Span,
    last_ticket: Ticket,
}

/// A call is brief if its target latency is shorter than the longest one by at least this factor.
const BRIEF_FACTOR: u64 = 4;

/// The size above which a response waits for the link.
const LARGE_RESPONSE: Bytes = crate::pacing::UNPACED_MAX;

/// The share of the slack before its soft deadline that a call may spend in the queue, by priority,
/// in thousandths. The last entry applies to all further priorities.
const WAIT_PERMILLE: [u64; 3] = [900, 700, 350];

/// The share of that slack after which a call is due, at any priority, in thousandths.
const DUE_PERMILLE: u64 = 350;

/// The share of that slack that the queue and the link may take together, in thousandths.
const WAIT_AND_LINK_PERMILLE: u64 = 800;

/// How long a call may wait even if its soft deadline is close or past: about the time of one more
/// attempt at another node.
const WAIT_MIN: Span = Span::new(40);

/// The share of the usual work time that must remain before the deadline for a call to start, in
/// thousandths. The work of a call that runs into its deadline is wasted.
const LEAST_WORK_PERMILLE: u64 = 700;

impl Admission {
    /// Creates the admission control of a backend server that runs `slots` calls concurrently.
    pub const fn new(slots: Slots) -> Self {
        Self {
            slots,
            running: 0,
            running_by_policy: BTreeMap::new(),
            queue: BTreeMap::new(),
            typical_work: Span::new(0),
            work_by_policy: BTreeMap::new(),
            response_sizes: BTreeMap::new(),
            longest_latency: Span::new(0),
            last_ticket: Ticket(0),
        }
    }

    /// Changes how many calls the backend server runs concurrently.
    pub fn resize(&mut self, now: Timestamp, slots: Slots) -> Release {
        self.slots = slots;
        self.advance(now)
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> Load {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        Load {
            in_flight: Slots::new(self.running.saturating_add(waiting)),
            slots: self.slots,
        }
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides about a call that must be answered by `deadline`.
    ///
    /// If the queue is full, a call that is already late is displaced, else the last one in the
    /// order, which has the most time left for an attempt elsewhere.
    pub fn offer(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        constraints: Constraints,
    ) -> (Ticket, Decision) {
        self.last_ticket = Ticket(self.last_ticket.0 + 1);
        let ticket = self.last_ticket;
        self.longest_latency = self
            .longest_latency
            .max(constraints.target_latency.unwrap_or_default());
        let key = Key {
            is_long: !self.is_brief(&constraints),
            due: self.due(now, deadline, &constraints),
            ticket,
        };
        let call = Waiting {
            latest_start: self.latest_start(deadline, &constraints),
            deadline,
            constraints,
        };
        let decision = self.decide(now, key, &call);
        match decision {
            Decision::Start => self.start(call.constraints.policy),
            Decision::Queue { displaced } => {
                self.queue.retain(|key, _| Some(key.ticket) != displaced);
                self.queue.insert(key, call);
            }
            Decision::Shed | Decision::Expired => {}
        }
        (ticket, decision)
    }

    /// Records that a running call under `policy` completed after `spent`.
    pub fn finish(&mut self, now: Timestamp, policy: &id::Policy, spent: Span) -> Release {
        self.measure(policy, spent);
        self.end(now, policy)
    }

    /// Records that a running call under `policy` ended without a response after `spent`. It would
    /// have taken longer, so the sample counts only if it exceeds the average already.
    pub fn abandon(&mut self, now: Timestamp, policy: &id::Policy, spent: Span) -> Release {
        if spent > self.work(policy) {
            self.measure(policy, spent);
        }
        self.end(now, policy)
    }

    /// Records the size of a response to a call under `policy`.
    pub fn record_size(&mut self, policy: &id::Policy, size: Bytes) {
        let known = self
            .response_sizes
            .entry(policy.clone())
            .or_insert(size.get());
        *known = smooth(*known, size.get());
    }

    fn measure(&mut self, policy: &id::Policy, spent: Span) {
        self.typical_work = updated_average(self.typical_work, spent);
        let work = self.work_by_policy.entry(policy.clone()).or_default();
        *work = updated_average(*work, spent);
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

    /// Removes a call from the queue; returns whether it was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let held = self.queue.len();
        self.queue.retain(|key, _| key.ticket != ticket);
        self.queue.len() < held
    }

    /// Empties the queue and returns the calls that were in it.
    pub fn close(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.queue)
            .into_keys()
            .map(|key| key.ticket)
            .collect()
    }

    fn decide(&self, now: Timestamp, key: Key, call: &Waiting) -> Decision {
        let constraints = &call.constraints;
        if now >= call.deadline {
            return Decision::Expired;
        }
        let room = self.has_room(constraints);
        let work = self.work(&constraints.policy);
        if self.typical_work.get() > 0
            && now.after(share(work, LEAST_WORK_PERMILLE)) >= call.deadline
        {
            return Decision::Shed;
        }
        let link = self.link_wait(constraints);
        if room && self.queue.is_empty() && link.get() == 0 {
            return Decision::Start;
        }
        let wait = if room {
            Span::new(0)
        } else {
            self.expected_wait(now, key, call)
        };
        let is_over = now.after(wait).after(link).after(work) >= call.deadline;
        if is_over || !is_acceptable_wait(now, work, wait, link, constraints) {
            return Decision::Shed;
        }
        if room {
            return Decision::Start;
        }
        let mut competitors = self
            .queue
            .iter()
            .filter(|(_, held)| held.constraints.policy == constraints.policy);
        if competitors.clone().count() < constraints.queue.get() as usize {
            return Decision::Queue { displaced: None };
        }
        let late = competitors
            .clone()
            .find(|(key, held)| held.is_late(now, **key));
        match late.or_else(|| competitors.next_back()) {
            Some((victim, held)) if *victim > key || held.is_late(now, *victim) => {
                Decision::Queue {
                    displaced: Some(victim.ticket),
                }
            }
            _ => Decision::Shed,
        }
    }

    fn start(&mut self, policy: id::Policy) {
        self.running += 1;
        *self.running_by_policy.entry(policy).or_default() += 1;
    }

    /// Returns how long the response to such a call waits for the link.
    fn link_wait(&self, constraints: &Constraints) -> Span {
        let size = self
            .response_sizes
            .get(&constraints.policy)
            .copied()
            .unwrap_or(0);
        if size > LARGE_RESPONSE.get() {
            constraints.link_backlog
        } else {
            Span::new(0)
        }
    }

    /// Returns whether the call is brief, see [`BRIEF_FACTOR`].
    fn is_brief(&self, constraints: &Constraints) -> bool {
        let longest = self.longest_latency.get();
        constraints
            .target_latency
            .is_some_and(|latency| latency.times(BRIEF_FACTOR).get() <= longest)
    }

    /// Returns the latest start with which the call can meet its soft deadline.
    fn latest_start(&self, deadline: Timestamp, constraints: &Constraints) -> Timestamp {
        let work = self.least_work(&constraints.policy);
        constraints
            .soft_deadline
            .map_or(deadline, |soft_deadline| soft_deadline.before(work))
    }

    /// Returns when a call that arrives now is due to start. That is well before the latest
    /// possible start: if all calls waited until they could barely meet their soft deadlines, those
    /// that then take longer than usual would miss them.
    fn due(&self, now: Timestamp, deadline: Timestamp, constraints: &Constraints) -> Timestamp {
        let work = self.work(&constraints.policy);
        let due = |soft_deadline: Timestamp| {
            now.after(share(slack(now, work, soft_deadline), DUE_PERMILLE))
        };
        constraints.soft_deadline.map_or(deadline, due)
    }

    /// Starts queued calls for which there is room, and refuses those that cannot be answered
    /// before their deadlines. Brief calls go first, then those that can still meet their soft
    /// deadlines, in the order in which they are due.
    fn advance(&mut self, now: Timestamp) -> Release {
        let mut release = Release::default();
        let queue = std::mem::take(&mut self.queue);
        let (late, timely): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|(key, waiting)| waiting.is_late(now, *key));
        for (key, waiting) in timely.into_iter().chain(late) {
            if waiting.deadline <= now.after(self.least_work(&waiting.constraints.policy)) {
                release.expired.push(key.ticket);
            } else if waiting.is_late(now, key)
                && waiting.is_overdue(now)
                && !self.has_room(&waiting.constraints)
            {
                release.shed.push(key.ticket);
            } else if self.has_room(&waiting.constraints) {
                self.start(waiting.constraints.policy);
                release.started.push(key.ticket);
            } else {
                self.queue.insert(key, waiting);
            }
        }
        release
    }

    fn has_room(&self, constraints: &Constraints) -> bool {
        let of_policy = self.running_by_policy.get(&constraints.policy);
        self.running < self.slots.get()
            && of_policy.is_none_or(|count| *count < constraints.concurrency.get())
    }

    /// Returns how long a call is expected to wait for a slot: until the running calls and those
    /// ahead of it are done. Late calls in the queue are ahead only of a call that is late itself.
    fn expected_wait(&self, now: Timestamp, key: Key, call: &Waiting) -> Span {
        let is_late = call.is_late(now, key);
        let goes_before = |(other, held): &(&Key, &Waiting)| {
            is_late || (**other < key && !held.is_late(now, **other))
        };
        let before = self.queue.iter().filter(goes_before);
        let ahead: u64 = before
            .map(|(_, held)| self.work(&held.constraints.policy).get())
            .sum();
        let room = self
            .slots
            .get()
            .min(call.constraints.concurrency.get())
            .max(1);
        Span::new((self.mean_work().get() + ahead) / u64::from(room))
    }

    /// Returns the expected work time of a call, averaged over those that run.
    fn mean_work(&self) -> Span {
        let all: u64 = self
            .running_by_policy
            .iter()
            .map(|(policy, count)| u64::from(*count) * self.work(policy).get())
            .sum();
        let mean = all.checked_div(u64::from(self.running));
        mean.map_or(self.typical_work, Span::new)
    }

    /// Returns the expected work time of a call under `policy`.
    fn work(&self, policy: &id::Policy) -> Span {
        self.work_by_policy
            .get(policy)
            .copied()
            .unwrap_or(self.typical_work)
    }

    /// Returns how much time must remain before the deadline for a call under `policy` to start.
    fn least_work(&self, policy: &id::Policy) -> Span {
        share(self.work(policy), LEAST_WORK_PERMILLE)
    }
}

/// Returns whether a call with the expected work time `work` may wait for `wait` in the queue and
/// for `link` on the link.
fn is_acceptable_wait(
    now: Timestamp,
    work: Span,
    wait: Span,
    link: Span,
    constraints: &Constraints,
) -> bool {
    let Some(soft_deadline) = constraints.soft_deadline else {
        return true;
    };
    let slack = slack(now, work, soft_deadline);
    let priority = usize::from(constraints.priority.get()).min(WAIT_PERMILLE.len() - 1);
    wait <= share(slack, WAIT_PERMILLE[priority]).max(WAIT_MIN)
        && wait.plus(link) <= share(slack, WAIT_AND_LINK_PERMILLE).max(WAIT_MIN)
}

/// Returns the time that is left until `soft_deadline` beyond `work`.
fn slack(now: Timestamp, work: Span, soft_deadline: Timestamp) -> Span {
    Span::new(soft_deadline.since(now).get().saturating_sub(work.get()))
}

fn share(span: Span, thousandths: u64) -> Span {
    Span::new(span.get() * thousandths / 1_000)
}

/// Returns the moving average `old` updated with the sample `new`; the first sample is taken as it
/// is.
fn updated_average(old: Span, new: Span) -> Span {
    match old.get() {
        0 => new,
        old => Span::new(smooth(old, new.get())),
    }
}
