//! Admission control for one backend server.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::rate::{CallRate, Priority};
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};

use super::decision::{Decision, Release, Ticket};
use super::order::{self, Order};
use super::queue::{Constraints, Key, QueuedCall};
use super::running::Running;
use super::shed::queue_or_shed;
use super::turnout::Turnout;
use super::wait::is_acceptable_wait;
use super::work::Work;
use crate::Load;
use crate::limit::Limit;

/// Admission control for one backend server: its running calls and a short queue.
#[derive(Clone, Debug)]
pub struct Admission {
    running: Running,
    queue: BTreeMap<Key, QueuedCall>,
    work: Work,
    order: Order,
    turnout: Turnout,
    limit: Limit,
    last_ticket: Ticket,
}

impl Admission {
    /// Creates the admission control of a backend server that runs `slots` calls concurrently.
    pub fn new(slots: Slots) -> Self {
        Self::with_limit(slots, Limit::default())
    }

    /// Creates the admission control of a backend server with this rate limit.
    pub fn with_limit(slots: Slots, limit: Limit) -> Self {
        Self {
            running: Running::new(slots),
            queue: BTreeMap::new(),
            work: Work::default(),
            order: Order::default(),
            turnout: Turnout::default(),
            limit,
            last_ticket: Ticket(0),
        }
    }

    /// Changes how many calls the backend server runs concurrently.
    pub fn resize(&mut self, now: Timestamp, slots: Slots) -> Release {
        self.running.slots = slots;
        self.start_queued(now)
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> Load {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        Load {
            in_flight: Slots::new(self.running.count().saturating_add(waiting)),
            pace: None,
            slots: self.running.slots,
        }
    }

    /// Returns the average work time of a call under `policy`, or under any before the first sample.
    pub fn average_work(&self, policy: &id::Policy) -> Span {
        self.work.of(policy)
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Starts, queues or refuses a call that must be answered by `deadline`.
    pub fn offer(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        constraints: Constraints,
    ) -> (Ticket, Decision) {
        self.last_ticket = Ticket(self.last_ticket.0 + 1);
        let ticket = self.last_ticket;
        let urgency = self.order.urgency(now, &constraints);
        if !order::is_return(now, &constraints) {
            self.turnout.offer(now, urgency);
        }
        let key = Key {
            urgency: self.turnout.effective(urgency),
            due: order::due(now, deadline, &constraints, &self.work),
            ticket,
        };
        let call = QueuedCall {
            latest_start: order::latest_start(deadline, &constraints, &self.work),
            deadline,
            constraints,
            urgency,
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
            Decision::Start => self.start(call),
            Decision::Queue { displaced } => {
                if displaced.is_some() {
                    self.limit.give_back();
                }
                self.queue.retain(|key, _| Some(key.ticket) != displaced);
                self.queue.insert(key, call);
            }
            Decision::Shed | Decision::Limited { .. } | Decision::Expired => {}
        }
        (ticket, decision)
    }

    /// Takes a call that will start or be queued from the backend server's limit.
    fn take(&mut self, now: Timestamp, key: Key, call: &QueuedCall) -> Result<(), Span> {
        let priority = if key.urgency.is_long {
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
        self.work.record(policy, elapsed);
        self.end(now, policy)
    }

    /// Records that a running call under `policy` ended without a response after `elapsed`. It
    /// would have taken longer, so the sample counts only if it exceeds the average already.
    pub fn abandon(&mut self, now: Timestamp, policy: &id::Policy, elapsed: Span) -> Release {
        if elapsed > self.work.of(policy) {
            self.work.record(policy, elapsed);
        }
        self.end(now, policy)
    }

    /// Records the size of a response to a call under `policy` for the average.
    pub fn record_size(&mut self, policy: &id::Policy, size: Bytes) {
        self.work.record_size(policy, size);
    }

    fn start(&mut self, call: QueuedCall) {
        let policy = call.constraints.policy;
        self.turnout.start(call.urgency, self.work.of(&policy));
        self.running.start(policy);
    }

    fn end(&mut self, now: Timestamp, policy: &id::Policy) -> Release {
        self.running.end(policy);
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
        let queue = std::mem::take(&mut self.queue);
        for _ in 0..queue.len() {
            self.limit.give_back();
        }
        queue.into_keys().map(|key| key.ticket).collect()
    }

    fn decide(&self, now: Timestamp, key: Key, call: &QueuedCall) -> Decision {
        let constraints = &call.constraints;
        if now >= call.deadline {
            return Decision::Expired;
        }
        let has_room = self.running.has_room(constraints);
        let work = self.work.of(&constraints.policy);
        let work_left_min = self.work.left_min(&constraints.policy);
        if now.after(work_left_min) >= call.deadline {
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
        queue_or_shed(now, key, call, &self.queue)
    }

    /// Returns how long the response to such a call is expected to wait for the network link.
    fn link_wait(&self, constraints: &Constraints) -> Span {
        if self.work.has_large_response(&constraints.policy) {
            constraints.link_backlog
        } else {
            Span::new(0)
        }
    }

    /// Starts queued calls for which there is room, expires those that cannot be answered before
    /// their deadlines, and sheds those for which there will be no room in time: overdue ones, and
    /// those that more urgent calls have pushed back until they would be late.
    ///
    /// The most urgent calls go first; of equally urgent ones those that can still meet their soft
    /// deadlines, in the order in which they are due, and late calls last.
    fn start_queued(&mut self, now: Timestamp) -> Release {
        let mut release = Release::default();
        let queue = std::mem::take(&mut self.queue);
        let (late, timely): (Vec<_>, Vec<_>) = queue
            .into_iter()
            .partition(|(key, call)| call.is_late(now, *key));
        let mut work_ahead = Span::new(0);
        for (key, call) in timely.into_iter().chain(late) {
            let work_left_min = self.work.left_min(&call.constraints.policy);
            if call.deadline <= now.after(work_left_min) {
                release.expired.push(key.ticket);
            } else if self.running.has_room(&call.constraints) {
                self.start(call);
                release.started.push(key.ticket);
            } else if call.is_late(now, key) {
                if call.is_overdue(now) {
                    release.shed.push(key.ticket);
                } else {
                    self.queue.insert(key, call);
                }
            } else if key.urgency.is_long
                && now.after(self.wait_behind(work_ahead, key, &call)) > call.latest_start
            {
                release.shed.push(key.ticket);
            } else {
                work_ahead = work_ahead.plus(self.work.of(&call.constraints.policy));
                self.queue.insert(key, call);
            }
        }
        for _ in release.expired.iter().chain(&release.shed) {
            self.limit.give_back();
        }
        release
    }

    /// Returns how long a call is expected to wait for a slot: until the running calls and those
    /// ahead of it are done.
    fn expected_wait(&self, now: Timestamp, key: Key, call: &QueuedCall) -> Span {
        let is_ahead = |(other, queued): &(&Key, &QueuedCall)| {
            order::is_ahead(now, (**other, queued), (key, call))
        };
        let calls_ahead = self.queue.iter().filter(is_ahead);
        let work_ahead: u64 = calls_ahead
            .map(|(_, queued)| self.work.of(&queued.constraints.policy).get())
            .sum();
        self.wait_behind(Span::new(work_ahead), key, call)
    }

    /// Returns how long a call is expected to wait until the running calls and `work_ahead` are
    /// done. More urgent calls take their part of the slots as they arrive.
    fn wait_behind(&self, work_ahead: Span, key: Key, call: &QueuedCall) -> Span {
        let concurrency = call.constraints.concurrency;
        let slots = u64::from(self.running.slots.min(concurrency).get().max(1));
        let work = self.running.average_work(&self.work).plus(work_ahead);
        let permille = self.turnout.permille_from(key.urgency).max(1);
        Span::new(work.get() * 1_000 / (slots * permille))
    }
}
