//! The attempts of a call, from its own node to the nodes of the chosen endpoints.

use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::Reason;
use cicadagw_call::attempt::{Action, Attempts, Conditions, Event};
use cicadagw_call::balancer::Signal;
use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;
use tokio::time::{Instant, sleep_until};

use crate::answer::Answer;
use crate::node::{Node, Plan};
use crate::reply::End;
use crate::target::{Call, Outcome};
use crate::trial::{Ended, Trial, Trials};

/// How long another node may say nothing at all: it confirms every call that takes longer than
/// [`crate::node::CONFIRM`], and the round trip between regions is added.
const SILENCE_MAX: Duration = Duration::from_millis(450);

/// How many times the usual work of a call an attempt may take before another endpoint is tried.
const PATIENCE: u64 = 4;

/// What is added to that, and the least time that an attempt gets.
const PATIENCE_MIN: Span = Span::new(300);

/// A call and its attempts.
pub(crate) struct Relay<'a> {
    node: &'a Rc<Node>,
    call: Call<'a>,
    chosen: Option<Record>,
    tried: SmallVec<[id::Endpoint; 4]>,
    answer: Option<Box<Answer>>,
    reason: Reason,
}

impl<'a> Relay<'a> {
    pub(crate) fn new(node: &'a Rc<Node>, call: Call<'a>) -> Self {
        Self {
            node,
            call,
            chosen: None,
            tried: SmallVec::new(),
            answer: None,
            reason: Reason::NoEndpoint,
        }
    }

    /// Does what the chart says until the call is over.
    pub(crate) async fn run(mut self) -> End {
        let service = &self.call.target.cluster.service;
        let policy = &self.call.target.policy;
        let peers = &self.node.peers;
        peers.deposit(service, policy.retry_budget);
        let method = std::str::from_utf8(&self.call.request.method).unwrap_or_default();
        let mut attempt = Attempts::new(policy, method);
        let mut event = self.choose();
        loop {
            let facts = Conditions {
                replayable: self.call.upload.is_replayable(),
                can_spend: peers.is_funded(service) && self.is_worthwhile() && self.may_help(event),
            };
            let actions = attempt.step(event, facts);
            if actions.is_empty() {
                return self.doubtful();
            }
            for action in actions {
                match action {
                    Action::Spend => self.spend(),
                    Action::Choose => event = self.choose(),
                    Action::Send => event = self.send(&mut attempt).await,
                    Action::ForwardResponse => return self.pass_answer(),
                    Action::ReplyNotRun => return End::NotRun(self.reason),
                    Action::ReplyUnknown => return self.doubtful(),
                }
            }
        }
    }

    fn spend(&self) {
        self.node.stats.count_retry();
        self.node.peers.spend(&self.call.target.cluster.service);
    }

    fn pass_answer(self) -> End {
        self.answer
            .map_or(End::Unknown(Reason::Lost), End::Answered)
    }

    /// Ends a call of which it is not known whether it ran: an answer that an earlier attempt brought
    /// is better than none.
    fn doubtful(self) -> End {
        let reason = match self.reason {
            Reason::Deadline => Reason::Deadline,
            _ => Reason::Lost,
        };
        self.answer.map_or(End::Unknown(reason), End::Answered)
    }

    /// Returns how long such a call takes, as far as is known.
    fn typical(&self) -> Option<Span> {
        let target = self.call.target;
        let peers = &self.node.peers;
        peers.typical(&target.cluster.service, &target.policy_name)
    }

    /// Tells whether there is time for one more attempt.
    fn is_worthwhile(&self) -> bool {
        let left = self.call.deadline.since(self.node.clock.now());
        self.typical().is_none_or(|typical| left > typical)
    }

    /// Tells whether another endpoint may do better after `event`. Where most answers are failures,
    /// the cause lies behind all endpoints, and a retry only repeats the calls that they make.
    fn may_help(&self, event: Event) -> bool {
        let now = self.node.clock.now();
        let service = &self.call.target.cluster.service;
        event != Event::Failed || self.node.peers.has_sound(now, service, &self.tried)
    }

    /// Chooses an endpoint among those that take work now.
    fn choose(&mut self) -> Event {
        let now = self.node.clock.now();
        if now >= self.call.deadline {
            self.reason = Reason::Deadline;
            return Event::Deadline;
        }
        let plan = self.node.plan();
        let chosen = self.pick(now, &plan, &self.tried);
        // A lost attempt may have been its connection's fault alone.
        self.chosen = match chosen {
            None if self.reason == Reason::Lost => self.pick(now, &plan, &[]),
            chosen => chosen,
        };
        match &self.chosen {
            Some(record) => {
                self.tried.push(record.endpoint.clone());
                Event::Chosen
            }
            None => Event::NoEndpoint,
        }
    }

    fn pick(&self, now: Timestamp, plan: &Plan, tried: &[id::Endpoint]) -> Option<Record> {
        let target = self.call.target;
        let endpoints = (plan.epoch, &*plan.endpoints);
        self.node
            .peers
            .choose(now, &target.cluster, endpoints, tried, &target.policy_name)
    }

    /// Makes an attempt at the chosen endpoint. If it takes unusually long, and the call may run more
    /// than once, another one is made beside it, and the first answer counts.
    async fn send(&mut self, attempt: &mut Attempts) -> Event {
        let Some(record) = self.chosen.take() else {
            return Event::NoEndpoint;
        };
        let begin = Instant::now();
        let mut trials = Trials::default();
        trials.push(Trial::start(self.node, self.call, record));
        let mut alarm = Some(begin + SILENCE_MAX);
        let mut was_lost = false;
        loop {
            let at = alarm.unwrap_or(begin);
            tokio::select! {
                biased;
                ended = trials.next() => {
                    let event = self.take(ended);
                    was_lost |= matches!(event, Event::Lost | Event::Deadline);
                    if event == Event::Answer || trials.is_empty() {
                        return if was_lost && event != Event::Answer && event != Event::Failed {
                            Event::Lost
                        } else {
                            event
                        };
                    }
                }
                () = sleep_until(at), if alarm.is_some() => {
                    let is_silent = self.note_silence(&trials);
                    let patience = self.patience();
                    alarm = None;
                    if is_silent || begin.elapsed() >= patience {
                        trials.extend(self.second(attempt));
                    } else if attempt.may_hedge() {
                        alarm = Some(begin + patience);
                    }
                }
            }
        }
    }

    /// Returns how long an attempt usually takes at the most.
    fn patience(&self) -> Duration {
        let typical = self.typical().map_or(0, Span::get);
        Duration::from(PATIENCE_MIN) + Duration::from_millis(typical * PATIENCE)
    }

    /// Starts another attempt beside those under way, if there may be one.
    fn second(&mut self, attempt: &mut Attempts) -> Option<Trial<'a>> {
        let service = &self.call.target.cluster.service;
        let peers = &self.node.peers;
        let may_start = attempt.may_hedge()
            && self.call.upload.is_replayable()
            && peers.is_funded(service)
            && self.is_worthwhile();
        if !may_start {
            return None;
        }
        let plan = self.node.plan();
        let record = self.pick(self.node.clock.now(), &plan, &self.tried)?;
        self.tried.push(record.endpoint.clone());
        attempt.count_hedge();
        self.spend();
        Some(Trial::start(self.node, self.call, record))
    }

    /// Takes note of how an attempt ended.
    fn take(&mut self, ended: Ended) -> Event {
        let Ended {
            record,
            outcome: Outcome { end, load, work },
            visit,
        } = ended;
        let (event, signal) = read(&end);
        let now = self.node.clock.now();
        let target = self.call.target;
        let peers = &self.node.peers;
        peers.learn(now, &target.cluster.service, &record.endpoint, signal, load);
        match end {
            End::Answered(mut answer) => {
                if let Some(work) = work
                    && event == Event::Answer
                {
                    let size = Bytes::new(answer.size());
                    peers.measure(now, &record, &target.policy_name, work, size);
                }
                answer.hold_visit(visit);
                self.answer = Some(answer);
            }
            End::NotRun(reason) | End::Unknown(reason) => {
                log::info!(
                    id = self.call.request.id(),
                    endpoint:% = record.endpoint,
                    tries = self.tried.len(),
                    load:? = load,
                    reason:%,
                    event:%;
                    "an attempt was not answered"
                );
                self.reason = reason;
            }
        }
        event
    }

    /// Takes note of nodes that have said nothing, so that further calls avoid them; tells whether
    /// there is one.
    fn note_silence(&self, trials: &Trials<'_>) -> bool {
        let now = self.node.clock.now();
        let service = &self.call.target.cluster.service;
        let peers = &self.node.peers;
        let mut is_silent = false;
        for record in trials.silent() {
            is_silent = true;
            log::warn!(node:% = record.node, next = "its endpoint is avoided for a while"; "another node is silent");
            peers.learn(now, service, &record.endpoint, Signal::Unreachable, None);
        }
        is_silent
    }
}

/// Returns what the end of an attempt means for the call, and for the health of the endpoint.
fn read(end: &End) -> (Event, Signal) {
    match end {
        End::Answered(answer) => match answer.status {
            500 | 502 => (Event::Failed, Signal::Failure),
            504 => (Event::Answer, Signal::Failure),
            // To put one out that has too much to do would only move its calls to others as busy.
            503 => (Event::Answer, Signal::Neutral),
            _ => (Event::Answer, Signal::Success),
        },
        End::NotRun(Reason::Unreachable) => (Event::Leaving, Signal::Unreachable),
        End::NotRun(Reason::Rejected) => (Event::Shed, Signal::Failure),
        End::NotRun(reason) => (reason.attempt_event(), Signal::Neutral),
        End::Unknown(Reason::Deadline) => (Event::Deadline, Signal::Failure),
        End::Unknown(_) => (Event::Lost, Signal::Failure),
    }
}
