//! Admission control for one backend server.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::rate::{CallRate, Priority};
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};

use super::decision::{Decision, Release, Ticket};
use super::queue::{Constraints, Key, QueuedCall};
use super::wait::{is_acceptable_wait, share, slack, updated_average};
use crate::Load;
use crate::average::{RESPONSE_MAX, smooth};
use crate::limit::Limit;

/// Admission control for one backend server: its running calls and a short queue.
#[derive(Clone, Debug)]
pub struct Admission {
    slots: Slots,
    /// How many calls are running.
    running: u32,
    running_by_policy: BTreeMap<id::Policy, u32>,
    queue: BTreeMap<Key, QueuedCall>,
    /// The average work time of a call under any policy; zero before the first sample. Work time is
    /// the time that a call holds its slot.
    average_work: Span,
    /// The average work time of a call, by policy.
    work_by_policy: BTreeMap<id::Policy, Span>,
    /// The average response size in bytes, by policy.
    response_sizes: BTreeMap<id::Policy, u64>,
    /// The longest target latency of any call so far; it never decreases, see [`BRIEF_FACTOR`].
    longest_latency: Span,
    limit: Limit,
    last_ticket: Ticket,
}

/// A call is brief if its target latency is shorter than the longest one by at least this factor.
/// Calls that are made while serving other calls have such target latencies. They go first, because
/// the calls that wait for them would fail otherwise.
const BRIEF_FACTOR: u64 = 4;

/// The average response size of a policy above which its calls also count the wait for the network
/// link: smaller responses are sent without pacing.
const LARGE_RESPONSE: Bytes = crate::pacing::UNPACED_MAX;

/// The share of the slack after which a call is due, at any priority, in thousandths.
const DUE_PERMILLE: u64 = 350;

/// The share of the average work time that must remain before the deadline for a call to start, in
/// thousandths. The work of a call that runs into its deadline is wasted. A call that cannot start
/// at once when it arrives is queued only if the whole average remains after the expected wait.
const WORK_LEFT_MIN_PERMILLE: u64 = 700;

impl Admission {
    /// Creates the admission control of a backend server that runs `slots` calls concurrently.
    pub fn new(slots: Slots) -> Self {
        Self::with_limit(slots, Limit::default())
    }

    /// Creates the admission control of a backend server with this rate limit.
    pub fn with_limit(slots: Slots, limit: Limit) -> Self {
        Self {
            slots,
            running: 0,
            running_by_policy: BTreeMap::new(),
            queue: BTreeMap::new(),
            average_work: Span::new(0),
            work_by_policy: BTreeMap::new(),
            response_sizes: BTreeMap::new(),
            longest_latency: Span::new(0),
            limit,
            last_ticket: Ticket(0),
        }
    }

    /// Changes how many calls the backend server runs concurrently.
    pub fn resize(&mut self, now: Timestamp, slots: Slots) -> Release {
        self.slots = slots;
        self.start_queued(now)
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> Load {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        Load {
            in_flight: Slots::new(self.running.saturating_add(waiting)),
            pace: None,
            slots: self.slots,
        }
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Starts, queues or refuses a call that must be answered by `deadline`.
    ///
    /// If the queue of the call's policy is full, a queued call that can no longer meet its soft
    /// deadline is displaced, else the one that would start last, which has the most time left for
    /// an attempt elsewhere. If the new call itself would start last, it is shed.
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
        let call = QueuedCall {
            latest_start: self.latest_start(deadline, &constraints),
            deadline,
            constraints,
        };
        let decision = match self.decide(now, key, &call) {
            Decision::Start | Decision::Queue { .. }
                if let Err(wait) = self.take(now, key, &call) =>
            {
                Decision::Limited { wait }
            }
            decision => decision,
        };
        match decision {
            Decision::Start => self.start(call.constraints.policy),
            Decision::Queue { displaced } => {
                self.queue.retain(|key, _| Some(key.ticket) != displaced);
                self.queue.insert(key, call);
            }
            Decision::Shed | Decision::Limited { .. } | Decision::Expired => {}
        }
        (ticket, decision)
    }

    /// Takes a call that will start or be queued from the backend server's limit.
    fn take(&mut self, now: Timestamp, key: Key, call: &QueuedCall) -> Result<(), Span> {
        let priority = if key.is_long {
            call.constraints.priority
        } else {
            Priority::default()
        };
        self.limit.take(now, priority, self.load().in_flight.get())
    }

    /// Returns the rate limit of the backend server.
    pub const fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Processes the rate limit that a response of the backend server names; returns whether it has
    /// changed.
    pub fn observe_limit(&mut self, now: Timestamp, stated: Option<CallRate>) -> bool {
        self.limit.observe(now, stated)
    }

    /// Records that a running call under `policy` completed after `elapsed`.
    pub fn finish(&mut self, now: Timestamp, policy: &id::Policy, elapsed: Span) -> Release {
        self.record_work(policy, elapsed);
        self.end(now, policy)
    }

    /// Records that a running call under `policy` ended without a response after `elapsed`. It
    /// would have taken longer, so the sample counts only if it exceeds the average already.
    pub fn abandon(&mut self, now: Timestamp, policy: &id::Policy, elapsed: Span) -> Release {
        if elapsed > self.work(policy) {
            self.record_work(policy, elapsed);
        }
        self.end(now, policy)
    }

    /// Records the size of a response to a call under `policy` for the average.
    pub fn record_size(&mut self, policy: &id::Policy, size: Bytes) {
        let size = size.min(RESPONSE_MAX);
        let average = self
            .response_sizes
            .entry(policy.clone())
            .or_insert(size.get());
        *average = smooth(*average, size.get());
    }

    fn record_work(&mut self, policy: &id::Policy, elapsed: Span) {
        self.average_work = updated_average(self.average_work, elapsed);
        let work = self.work_by_policy.entry(policy.clone()).or_default();
        *work = updated_average(*work, elapsed);
    }

    fn end(&mut self, now: Timestamp, policy: &id::Policy) -> Release {
        self.running = self.running.saturating_sub(1);
        if let Some(count) = self.running_by_policy.get_mut(policy) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running_by_policy.remove(policy);
            }
        }
        self.start_queued(now)
    }

    /// Removes the call `ticket` from the queue; returns whether it was queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|key, _| key.ticket != ticket);
        let was_queued = self.queue.len() < before;
        if was_queued {
            self.limit.give_back();
        }
        was_queued
    }

    /// Removes all calls from the queue and returns them. Later calls may be queued again.
    pub fn close(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.queue)
            .into_keys()
            .map(|key| key.ticket)
            .collect()
    }

    fn decide(&self, now: Timestamp, key: Key, call: &QueuedCall) -> Decision {
        let constraints = &call.constraints;
        if now >= call.deadline {
            return Decision::Expired;
        }
        let has_room = self.has_room(constraints);
        let work = self.work(&constraints.policy);
        if self.average_work.get() > 0
            && now.after(share(work, WORK_LEFT_MIN_PERMILLE)) >= call.deadline
        {
            return Decision::Shed;
        }
        let link = self.link_wait(constraints);
        if has_room && self.queue.is_empty() && link.get() == 0 {
            return Decision::Start;
        }
        let wait = if has_room {
            Span::new(0)
        } else {
            self.expected_wait(now, key, call)
        };
        let misses_deadline = now.after(wait).after(link).after(work) >= call.deadline;
        if misses_deadline || !is_acceptable_wait(now, work, wait, link, constraints) {
            return Decision::Shed;
        }
        if has_room {
            return Decision::Start;
        }
        let mut competitors = self
            .queue
            .iter()
            .filter(|(_, queued)| queued.constraints.policy == constraints.policy);
        if competitors.clone().count() < constraints.queue.get() as usize {
            return Decision::Queue { displaced: None };
        }
        let late = competitors
            .clone()
            .find(|(key, queued)| queued.is_late(now, **key));
        match late.or_else(|| competitors.next_back()) {
            Some((victim, queued)) if *victim > key || queued.is_late(now, *victim) => {
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

    /// Returns how long the response to such a call is expected to wait for the network link.
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

    /// Returns the latest start with which the call can meet its soft deadline; without one, its
    /// deadline.
    fn latest_start(&self, deadline: Timestamp, constraints: &Constraints) -> Timestamp {
        let work = self.work_left_min(&constraints.policy);
        constraints
            .soft_deadline
            .map_or(deadline, |soft_deadline| soft_deadline.before(work))
    }

    /// Returns when a call that arrives now is due to start. That is well before the latest
    /// possible start: if all calls waited until they could barely meet their soft deadlines, those
    /// that then take longer than the average would miss them.
    fn due(&self, now: Timestamp, deadline: Timestamp, constraints: &Constraints) -> Timestamp {
        let work = self.work(&constraints.policy);
        let due = |soft_deadline: Timestamp| {
            now.after(share(slack(now, work, soft_deadline), DUE_PERMILLE))
        };
        constraints.soft_deadline.map_or(deadline, due)
    }

    /// Starts queued calls for which there is room, expires those that cannot be answered before
    /// their deadlines, and sheds overdue ones for which there is no room.
    ///
    /// Brief calls go first, then those that can still meet their soft deadlines, in the order in
    /// which they are due, and late calls last.
    fn start_queued(&mut self, now: Timestamp) -> Release {
        let mut release = Release::default();
        let queue = std::mem::take(&mut self.queue);
        let (late, timely): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|(key, call)| call.is_late(now, *key));
        for (key, call) in timely.into_iter().chain(late) {
            if call.deadline <= now.after(self.work_left_min(&call.constraints.policy)) {
                release.expired.push(key.ticket);
            } else if call.is_late(now, key)
                && call.is_overdue(now)
                && !self.has_room(&call.constraints)
            {
                release.shed.push(key.ticket);
            } else if self.has_room(&call.constraints) {
                self.start(call.constraints.policy);
                release.started.push(key.ticket);
            } else {
                self.queue.insert(key, call);
            }
        }
        release
    }

    /// Returns whether a slot of the backend server is free and the policy may run another call.
    fn has_room(&self, constraints: &Constraints) -> bool {
        let of_policy = self.running_by_policy.get(&constraints.policy);
        self.running < self.slots.get()
            && of_policy.is_none_or(|count| *count < constraints.concurrency.get())
    }

    /// Returns how long a call is expected to wait for a slot: until the running calls and those
    /// ahead of it are done. Late calls in the queue are ahead only of a call that is late itself.
    fn expected_wait(&self, now: Timestamp, key: Key, call: &QueuedCall) -> Span {
        let is_late = call.is_late(now, key);
        let is_ahead = |(other, queued): &(&Key, &QueuedCall)| {
            is_late || (**other < key && !queued.is_late(now, **other))
        };
        let calls_ahead = self.queue.iter().filter(is_ahead);
        let work_ahead: u64 = calls_ahead
            .map(|(_, queued)| self.work(&queued.constraints.policy).get())
            .sum();
        let slots = self
            .slots
            .get()
            .min(call.constraints.concurrency.get())
            .max(1);
        Span::new((self.average_running_work().get() + work_ahead) / u64::from(slots))
    }

    /// Returns the average work time over the policies of the running calls.
    fn average_running_work(&self) -> Span {
        let all: u64 = self
            .running_by_policy
            .iter()
            .map(|(policy, count)| u64::from(*count) * self.work(policy).get())
            .sum();
        let average = all.checked_div(u64::from(self.running));
        average.map_or(self.average_work, Span::new)
    }

    /// Returns the average work time of a call under `policy`, or of all calls before the first
    /// sample under it.
    fn work(&self, policy: &id::Policy) -> Span {
        self.work_by_policy
            .get(policy)
            .copied()
            .unwrap_or(self.average_work)
    }

    /// Returns how much time must remain before the deadline for a call under `policy` to start.
    fn work_left_min(&self, policy: &id::Policy) -> Span {
        share(self.work(policy), WORK_LEFT_MIN_PERMILLE)
    }
}
