//! The decisions of the node that leads a rollout.

use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;

use crate::reports::{Host, Reports};
use crate::{
    Action, Event, Fault, Group, Guard, Order, Phase, Report, Schedule, Status, Verdict, chart,
    faulty, judge,
};

/// How often a leader without news writes the status, so that others see that it is alive.
const RENEWAL: Span = Span::seconds(1);

/// The least time between two changes of the share during the test.
const TEST_STEP: Span = Span::new(500);

/// How many answers of the target release prove it, at least.
const PROOF_MIN: u64 = 20;

/// The share of the calls that were due to the target release whose answers prove it, in thousandths.
const PROOF_PERMILLE: u64 = 300;

/// The age from which on a report is not the last state of a backend server.
const REPORT_AGE_MAX: Span = Span::seconds(1);

/// How much longer a rollout may take whose release has been proven.
const OVERDUE_MAX: Span = Span::seconds(10);

/// The age up to which reports tell how a release does at the moment.
const INFORMED_MAX: Span = Span::seconds(2);

/// How long a node beside a backend server may be silent until it counts as cut off or ended. Calls
/// reach the backend server only through it.
const SILENCE_MAX: Span = Span::seconds(4);

/// How long only the target release, or none of its backend servers, must have been seen until that
/// counts. Nothing that follows from it can be taken back.
const HELD_MIN: Span = Span::seconds(2);

/// A decision, to be written to the platform under the condition that nobody has changed the order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Why the target release gets no more calls, if it does not.
    pub fault: Option<Fault>,
    /// The status to write. If it is rolled back, the nodes are told without waiting for the platform.
    pub status: Status,
}

/// The state of the node that leads a rollout.
#[derive(Clone, Debug)]
pub struct Leader {
    order: Order,
    schedule: Schedule,
    status: Status,
    reports: Reports,
    /// When the first calls were reported to this leader.
    counted_from: Option<Timestamp>,
    /// Which of the releases have been seen, and since when.
    presence: Option<(Event, Timestamp)>,
    /// When the current share was written, which brings it into force; when it was decided until then.
    stepped: Timestamp,
    /// Whether the current share was written.
    is_written: bool,
    /// When the last decision was taken; `None` before the first one, by which this node takes up the
    /// order.
    decided: Option<Timestamp>,
    /// The number of calls that the shares so far have given to the target release, in thousandths.
    due_milli: u64,
    /// The calls that had reached the service when `due_milli` was updated.
    reached: u64,
}

impl Leader {
    /// Takes up an order, or continues under the `status` that an earlier leader has written.
    /// `unix_ms` is the current time in milliseconds since the Unix epoch.
    pub fn new(
        now: Timestamp,
        unix_ms: u64,
        node: &id::Node,
        order: Order,
        status: Status,
    ) -> Self {
        let started_ms = match status.started_ms {
            0 => unix_ms,
            started_ms => started_ms,
        };
        let is_new = status.started_ms == 0;
        Self {
            schedule: Schedule::new(order.duration),
            order,
            status: Status {
                leader: Some(node.clone()),
                started_ms,
                since_ms: if is_new { unix_ms } else { status.since_ms },
                ..status
            },
            reports: Reports::default(),
            counted_from: None,
            presence: None,
            stepped: now,
            is_written: true,
            decided: None,
            due_milli: 0,
            reached: 0,
        }
    }

    /// Returns the order.
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the status as of the last decision.
    pub const fn status(&self) -> &Status {
        &self.status
    }

    /// Adds a report of a node. One about another rollout is left out.
    pub fn report(&mut self, now: Timestamp, report: Report) {
        if report.started_ms == self.status.started_ms && report.service == self.order.service {
            self.reports.add(now, report);
        }
    }

    /// Returns how many calls have reached the service since the order, and how many of them the
    /// target release got.
    pub fn exposure(&self) -> (u64, u64) {
        let target = Some(&self.order.target);
        let is_target = |report: &Report| report.release.as_ref() == target;
        (self.reports.sent(|_| true), self.reports.sent(is_target))
    }

    /// Decides what is due at `now`, while `records` are the endpoints of the service that accept
    /// calls. Returns what has to be written.
    pub fn decide(&mut self, now: Timestamp, unix_ms: u64, records: &[Record]) -> Option<Decision> {
        let before = (self.status.phase, self.status.share);
        let (reached, exposed) = self.exposure();
        let (due, share) = (
            reached.saturating_sub(self.reached),
            self.status.share.get(),
        );
        let due_milli = due.saturating_mul(u64::from(share));
        self.due_milli = self.due_milli.saturating_add(due_milli);
        self.reached = reached;
        if reached > 0 {
            self.counted_from.get_or_insert(now);
        }
        let verdict = self.verdict();
        let mut fault = None;
        if let Verdict::Bad(found) = &verdict {
            fault = Some(found.clone());
            self.step(now, unix_ms, Event::Bad);
        }
        // What has happened is judged anew after each step.
        let presence = self.presence(now, records);
        let others = self.events(now, unix_ms, &verdict, records);
        let mut events = presence.into_iter().chain(others);
        events.find(|event| self.step(now, unix_ms, *event));
        if self.status.phase == Phase::Observing && now.since(self.stepped) >= TEST_STEP {
            self.stepped = now;
            self.is_written = false;
            let (age, counted) = (self.age(unix_ms), self.counted(now));
            self.status.share = self.schedule.test_share(age, counted, reached, exposed);
        }
        let has_changed = before != (self.status.phase, self.status.share);
        let is_renewal = self
            .decided
            .is_none_or(|decided| self.status.is_running() && now.since(decided) >= RENEWAL);
        if !has_changed && !is_renewal {
            return None;
        }
        Some(self.decision(now, fault))
    }

    /// Stops the rollout if the target release is worse than the others or the time is over, and
    /// decides nothing else.
    pub fn decide_stop(&mut self, now: Timestamp, unix_ms: u64) -> Option<Decision> {
        let (event, fault) = match self.verdict() {
            Verdict::Bad(fault) => (Event::Bad, Some(fault)),
            verdict if self.is_overdue(unix_ms, &verdict) => (Event::Overdue, None),
            _ => return None,
        };
        let stops = self.step(now, unix_ms, event);
        stops.then(|| self.decision(now, fault))
    }

    /// Notes that `status` has been written to the platform.
    pub fn acknowledge(&mut self, now: Timestamp, status: &Status) {
        let is_current = (status.phase, status.share) == (self.status.phase, self.status.share);
        if is_current && !self.is_written {
            self.is_written = true;
            self.stepped = now;
        }
    }

    /// Returns the last decision again, for a write whose outcome is a failure or unknown.
    pub fn repeat(&mut self, now: Timestamp) -> Decision {
        self.decision(now, None)
    }

    fn decision(&mut self, now: Timestamp, fault: Option<Fault>) -> Decision {
        self.decided = Some(now);
        self.status.beat = self.status.beat.wrapping_add(1);
        Decision {
            fault,
            status: self.status.clone(),
        }
    }

    /// Returns the time since the order was noticed. It is kept as wall clock time, since the clock of
    /// the timestamps begins anew with each process.
    const fn age(&self, unix_ms: u64) -> Span {
        Span::new(unix_ms.saturating_sub(self.status.started_ms))
    }

    /// Returns for how long calls have been reported to this leader.
    fn counted(&self, now: Timestamp) -> Span {
        now.since(self.counted_from.unwrap_or(now))
    }

    /// Returns which of the releases accept calls, unless that must first be seen for longer.
    fn presence(&mut self, now: Timestamp, records: &[Record]) -> Option<Event> {
        let group = |record: &Record| self.group(record.release.as_ref());
        let has_target = records.iter().any(|record| group(record) == Group::Target);
        let has_base = records.iter().any(|record| group(record) == Group::Base);
        // A node that still reports is there, whatever this one knows of its endpoint.
        let is_reporting = |host: &Host| {
            let (at, report) = &host.last;
            self.group(report.release.as_ref()) == Group::Base && now.since(*at) < SILENCE_MAX
        };
        let event = match (has_target, has_base) {
            (false, _) => Event::Absent,
            (true, false) if !self.reports.iter().any(is_reporting) => Event::Alone,
            (true, _) => Event::Present,
        };
        let since = match self.presence {
            Some((known, since)) if known == event => since,
            _ => now,
        };
        self.presence = Some((event, since));
        let is_certain = event == Event::Present || now.since(since) >= HELD_MIN;
        is_certain.then_some(event)
    }

    /// Returns what else has happened, in the order in which it counts.
    fn events(
        &self,
        now: Timestamp,
        unix_ms: u64,
        verdict: &Verdict,
        records: &[Record],
    ) -> SmallVec<[Event; 4]> {
        let age = self.age(unix_ms);
        let mut events = SmallVec::new();
        let is_clear = *verdict == Verdict::Clear;
        let is_clear = is_clear && self.is_informed(now, records);
        if is_clear && age >= self.schedule.raise_at() && self.is_proven() {
            events.push(Event::Proven);
        }
        if is_clear && now.since(self.stepped) >= self.schedule.step() {
            events.push(Event::Settled);
        }
        if self.is_quiet(now, records) {
            events.push(Event::Quiet);
        }
        if self.is_overdue(unix_ms, verdict) {
            events.push(Event::Overdue);
        }
        events
    }

    /// Returns whether the time is over. A release that has been proven is given some more, such as
    /// for another leader to take over.
    fn is_overdue(&self, unix_ms: u64, verdict: &Verdict) -> bool {
        let is_proven = *verdict == Verdict::Clear && self.status.phase == Phase::Raising;
        let more = if is_proven { OVERDUE_MAX } else { Span::new(0) };
        self.age(unix_ms) >= self.order.duration.plus(more)
    }

    /// Takes a step of the chart; returns whether it does anything.
    fn step(&mut self, now: Timestamp, unix_ms: u64, event: Event) -> bool {
        let is_whole = self.status.share >= Permille::WHOLE;
        let step = chart().step(self.status.phase, event, |guard| match guard {
            Guard::IsWhole => is_whole,
        });
        if step.to != self.status.phase {
            self.status.since_ms = unix_ms;
        }
        self.status.phase = step.to;
        for action in step.actions {
            self.stepped = now;
            self.is_written = false;
            self.status.share = match action {
                Action::Observe => {
                    let (age, counted) = (self.age(unix_ms), self.counted(now));
                    let (reached, exposed) = self.exposure();
                    self.schedule.test_share(age, counted, reached, exposed)
                }
                Action::Raise => Schedule::next_share(self.status.share),
                Action::Close | Action::Finish => Permille::WHOLE,
                Action::Stop => Permille::new(0),
            };
        }
        !step.actions.is_empty()
    }

    /// Compares the target release with the others, over the whole time and recently.
    fn verdict(&self) -> Verdict {
        let group = |report: &Report| self.group(report.release.as_ref());
        let is_target = |report: &Report| group(report) == Group::Target;
        let (mut target, mut recent) = self.reports.samples(is_target);
        if let Some(faulty) = faulty(&target) {
            target.remove(faulty);
            recent.remove(faulty);
        }
        let (base, _) = self.reports.samples(|report| group(report) == Group::Base);
        match judge(&target, &base) {
            Verdict::Bad(fault) => Verdict::Bad(fault),
            // The other releases have no recent calls once the target gets most of them.
            whole => match judge(&recent, &base) {
                Verdict::Clear => whole,
                recent => recent,
            },
        }
    }

    /// Returns whether the last reports tell of most backend servers of the target release. A leader that
    /// has just taken the place of another one knows nothing yet.
    fn is_informed(&self, now: Timestamp, records: &[Record]) -> bool {
        let targets = || {
            let records = records.iter();
            records.filter(|record| self.group(record.release.as_ref()) == Group::Target)
        };
        let is_reported = |record: &&Record| {
            let host = self.reports.get(&record.endpoint);
            host.is_some_and(|host| now.since(host.last.0) < INFORMED_MAX)
        };
        let reported = targets().filter(is_reported).count();
        reported > 0 && reported * 2 >= targets().count()
    }

    /// Returns whether the target release has answered enough calls to be proven: of a service with
    /// few calls, most of those that its share gave it.
    fn is_proven(&self) -> bool {
        let target = self.reports.samples(|report| {
            let group = self.group(report.release.as_ref());
            group == Group::Target
        });
        let ended = target.0.iter().map(|sample| sample.total.ended);
        let ended = ended.fold(0, u64::saturating_add);
        let due = (self.due_milli / 1_000).saturating_mul(PROOF_PERMILLE) / 1_000;
        ended >= due.min(PROOF_MIN)
    }

    /// Returns whether no call is in flight at a backend server of another release, and its node
    /// refuses new ones.
    fn is_quiet(&self, now: Timestamp, records: &[Record]) -> bool {
        let in_phase = now.since(self.stepped);
        let is_listed = |endpoint: &id::Endpoint| {
            let mut listed = records.iter();
            listed.any(|record| record.endpoint == *endpoint)
        };
        let mut others = records
            .iter()
            .filter(|record| self.group(record.release.as_ref()) != Group::Target);
        let are_reported = others
            .all(|record| self.reports.get(&record.endpoint).is_some() || in_phase >= SILENCE_MAX);
        let is_target = |host: &&Host| {
            let release = host.last.1.release.as_ref();
            self.group(release) == Group::Target
        };
        let mut hosts = self.reports.iter().filter(|host| !is_target(host));
        are_reported
            && hosts.all(|host| {
                let (at, report) = &host.last;
                let age = now.since(*at);
                let is_closed = report.refuses || !is_listed(&report.endpoint);
                let is_idle = is_closed && report.in_flight == 0 && age < REPORT_AGE_MAX;
                // A silent node has been cut off or has ended.
                is_idle || age >= SILENCE_MAX
            })
    }

    /// Returns the part that a release has while the rollout goes on.
    fn group(&self, release: Option<&id::Release>) -> Group {
        match release {
            Some(release) if *release == self.order.target => Group::Target,
            Some(release) if self.status.unproven.contains(release) => Group::Excluded,
            _ => Group::Base,
        }
    }
}
