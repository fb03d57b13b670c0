//! Runs the attempts of a call, from the caller's node to the nodes of the selected endpoints.

use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::Reason;
use cicadagw_call::attempt::{Action, Attempts, Conditions, Event};
use cicadagw_call::balancer::{Demand, Signal};
use cicadagw_call::refusal::Prospect;
use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;
use tokio::time::{Instant, sleep_until};

use crate::attempts::{FinishedAttempt, RunningAttempt, RunningAttempts};
use crate::delivery::{Call, Outcome};
use crate::header;
use crate::node::Node;
use crate::reply::End;
use crate::response::Response;
use crate::routing::Routing;

/// How long another node may send nothing at all. A node sends an interim response to every call
/// that takes longer than `INTERIM_RESPONSE_DELAY`; the round trip between regions is added to
/// that.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(450);

/// The multiple of the average work time of a call that is added to [`HEDGE_DELAY_MIN`].
const HEDGE_FACTOR: u64 = 4;

/// The constant part of the time after which a second attempt is started, and thus its minimum.
const HEDGE_DELAY_MIN: Span = Span::new(300);

/// A call and its attempts.
pub(crate) struct Relay<'a> {
    node: &'a Rc<Node>,
    call: Call<'a>,
    /// The endpoint of the next attempt.
    chosen: Option<Record>,
    tried: SmallVec<[id::Endpoint; 4]>,
    /// Whether an endpoint of another region was tried.
    has_crossed: bool,
    /// The response of the last attempt that got one.
    response: Option<Box<Response>>,
    /// The reason to report if the call gets no response.
    reason: Reason,
}

impl<'a> Relay<'a> {
    pub(crate) fn new(node: &'a Rc<Node>, call: Call<'a>) -> Self {
        Self {
            node,
            call,
            chosen: None,
            tried: SmallVec::new(),
            has_crossed: false,
            response: None,
            reason: Reason::NoEndpoint,
        }
    }

    /// Performs the actions of the call's state chart until the call is over.
    pub(crate) async fn run(mut self) -> Outcome {
        let service = &self.call.target.cluster.service;
        let policy = &self.call.target.policy;
        let peers = &self.node.peers;
        peers.deposit(service, policy.retry_budget);
        let method = std::str::from_utf8(&self.call.request.method).unwrap_or_default();
        let mut attempts = Attempts::new(policy, method);
        if self.ends_too_late() {
            return Outcome::not_run(Reason::Draining);
        }
        let mut event = self.choose();
        loop {
            let conditions = Conditions {
                replayable: self.call.upload.is_replayable(),
                can_spend: peers.can_spend(service)
                    && self.has_time_for_attempt()
                    && self.retry_may_succeed(event),
            };
            let actions = attempts.step(event, conditions);
            if actions.is_empty() {
                return Outcome::of(self.end_unknown());
            }
            for action in actions {
                match action {
                    Action::Spend => self.spend_retry(),
                    Action::Choose => event = self.choose(),
                    Action::Send => event = self.send(&mut attempts).await,
                    Action::ForwardResponse => return Outcome::of(self.forward_response()),
                    Action::ReplyNotRun => return self.refuse(),
                    Action::ReplyUnknown => return Outcome::of(self.end_unknown()),
                }
            }
        }
    }

    /// Counts a retry, and takes it from the retry budget of the service.
    fn spend_retry(&self) {
        self.node.stats.count_retry();
        self.node.peers.spend(&self.call.target.cluster.service);
    }

    /// Refuses the call. A rate limit tells when its caller may come back, or else, where there is
    /// too little room, the time that the caller has left.
    fn refuse(&self) -> Outcome {
        let peers = &self.node.peers;
        let now = self.node.clock.now();
        let service = &self.call.target.cluster.service;
        let retry_in = match self.reason {
            Reason::Limited => peers.return_wait(now, service),
            Reason::Rejected | Reason::Shed => {
                let request = self.call.request;
                let prospect = Prospect {
                    // A backend server that refuses calls itself says nothing of a peak that ends.
                    has_returned: self.reason == Reason::Shed
                        && request.first_arrival < request.arrival,
                    soft_deadline: self.call.soft_deadline(),
                    deadline: request.caller_deadline(),
                    work: self.average_work().unwrap_or_default(),
                };
                Some(prospect.return_wait(now, peers.random()))
            }
            _ => None,
        };
        Outcome {
            retry_in,
            ..Outcome::not_run(self.reason)
        }
    }

    fn forward_response(self) -> End {
        self.response
            .map_or(End::Unknown(Reason::Lost), End::Answered)
    }

    /// Ends a call of which it is not known whether it was executed. A response of an earlier
    /// attempt takes precedence.
    fn end_unknown(self) -> End {
        let reason = match self.reason {
            Reason::Deadline => Reason::Deadline,
            _ => Reason::Lost,
        };
        self.response.map_or(End::Unknown(reason), End::Answered)
    }

    /// Returns the average work time of such a call, if it is known.
    fn average_work(&self) -> Option<Span> {
        let target = self.call.target;
        let peers = &self.node.peers;
        peers.average_work(&target.cluster.service, &target.policy_name)
    }

    /// Returns whether this node, which is shutting down, would likely abort the call: twice the
    /// average work time of such calls does not fit.
    fn ends_too_late(&self) -> bool {
        let work = self.average_work().unwrap_or_default();
        self.node.aborts_within(work.times(2))
    }

    /// Returns whether the deadline leaves time for another attempt.
    fn has_time_for_attempt(&self) -> bool {
        let left = self.call.deadline.since(self.node.clock.now());
        self.average_work().is_none_or(|average| left > average)
    }

    /// Returns whether a retry at another endpoint may succeed after `event`. If most responses of
    /// all endpoints are failures, their common cause lies behind the endpoints, and a retry would
    /// only repeat the calls that they make.
    fn retry_may_succeed(&self, event: Event) -> bool {
        let now = self.node.clock.now();
        let service = &self.call.target.cluster.service;
        event != Event::Failed
            || self
                .node
                .peers
                .has_reliable_endpoint(now, service, &self.tried)
    }

    /// Selects the endpoint of the next attempt among those that accept calls.
    fn choose(&mut self) -> Event {
        let now = self.node.clock.now();
        if now >= self.call.deadline {
            self.reason = Reason::Deadline;
            return Event::Deadline;
        }
        let routing = self.node.routing();
        let chosen = self.select_endpoint(now, &routing, &self.tried);
        // An attempt may have been lost because of its connection alone, so the same endpoint is
        // tried again if there is no other.
        self.chosen = match chosen {
            None if self.reason == Reason::Lost => self.select_endpoint(now, &routing, &[]),
            Some(record) if matches!(self.reason, Reason::Limited | Reason::Shed) => {
                let peers = &self.node.peers;
                let is_worth_asking = peers.is_worth_asking(now, &record, self.has_crossed);
                is_worth_asking.then_some(record)
            }
            chosen => chosen,
        };
        if let Some(record) = &self.chosen {
            self.tried.push(record.endpoint.clone());
            self.has_crossed |= self.node.peers.is_in_other_region(record);
            return Event::Chosen;
        }
        if self.reason == Reason::NoEndpoint && self.is_limited(now) {
            self.reason = Reason::Limited;
        }
        Event::NoEndpoint
    }

    /// Returns whether a rate limit of the service refuses such calls.
    fn is_limited(&self, now: Timestamp) -> bool {
        let target = self.call.target;
        let peers = &self.node.peers;
        peers.is_limited(now, &target.cluster.service, self.call.priority)
    }

    fn select_endpoint(
        &self,
        now: Timestamp,
        routing: &Routing,
        tried: &[id::Endpoint],
    ) -> Option<Record> {
        let target = self.call.target;
        let demand = Demand {
            policy: &target.policy_name,
            priority: self.call.priority,
            target: self.call.soft_deadline().map(|target| target.since(now)),
        };
        let peers = &self.node.peers;
        peers.choose(now, &target.cluster, routing, tried, demand)
    }

    /// Makes an attempt at the selected endpoint. If it takes unusually long and the call may be
    /// executed more than once, a second attempt is started concurrently (request hedging), and the
    /// first response counts.
    async fn send(&mut self, attempts: &mut Attempts) -> Event {
        let Some(record) = self.chosen.take() else {
            return Event::NoEndpoint;
        };
        let begin = Instant::now();
        let mut running = RunningAttempts::default();
        running.push(RunningAttempt::start(self.node, self.call, record));
        let mut timer = Some(begin + SILENCE_TIMEOUT);
        let mut was_lost = false;
        loop {
            let at = timer.unwrap_or(begin);
            tokio::select! {
                biased;
                finished = running.next() => {
                    let event = self.record_result(finished);
                    was_lost |= matches!(event, Event::Lost | Event::Deadline);
                    if event == Event::Answer || running.is_empty() {
                        return if was_lost && event != Event::Answer && event != Event::Failed {
                            Event::Lost
                        } else {
                            event
                        };
                    }
                }
                () = sleep_until(at), if timer.is_some() => {
                    let any_silent = self.mark_silent(&running);
                    let hedge_delay = self.hedge_delay();
                    timer = None;
                    if any_silent || begin.elapsed() >= hedge_delay {
                        running.extend(self.start_hedge(attempts));
                    } else if attempts.may_hedge() {
                        timer = Some(begin + hedge_delay);
                    }
                }
            }
        }
    }

    /// Returns how long an attempt may take before a second one is started.
    fn hedge_delay(&self) -> Duration {
        let average = self.average_work().map_or(0, Span::get);
        Duration::from(HEDGE_DELAY_MIN) + Duration::from_millis(average * HEDGE_FACTOR)
    }

    /// Starts a concurrent second attempt if the policy and the retry budget allow it.
    fn start_hedge(&mut self, attempts: &mut Attempts) -> Option<RunningAttempt<'a>> {
        let service = &self.call.target.cluster.service;
        let peers = &self.node.peers;
        let may_start = attempts.may_hedge()
            && self.call.upload.is_replayable()
            && peers.can_spend(service)
            && self.has_time_for_attempt();
        if !may_start {
            return None;
        }
        let routing = self.node.routing();
        let record = self.select_endpoint(self.node.clock.now(), &routing, &self.tried)?;
        self.tried.push(record.endpoint.clone());
        attempts.count_hedge();
        self.spend_retry();
        Some(RunningAttempt::start(self.node, self.call, record))
    }

    /// Records the result of an attempt.
    fn record_result(&mut self, finished: FinishedAttempt) -> Event {
        let FinishedAttempt {
            record,
            outcome:
                Outcome {
                    end,
                    load,
                    work,
                    retry_in,
                },
            endpoint_call,
        } = finished;
        let (event, signal) = classify(&end);
        let now = self.node.clock.now();
        let target = self.call.target;
        let peers = &self.node.peers;
        peers.record_outcome(now, &target.cluster.service, &record.endpoint, signal, load);
        if let Some(wait) = retry_in {
            peers.record_limited(now, &record, wait, self.call.priority);
        }
        match end {
            End::Answered(mut response) => {
                if header::says_leaving(&response.fields, self.node.dialect.header_names()) {
                    peers.leave(&record);
                }
                if let Some(work) = work
                    && event == Event::Answer
                {
                    let size = Bytes::new(response.size());
                    peers.record_response(now, &record, &target.policy_name, work, size);
                }
                response.hold_endpoint_call(endpoint_call);
                self.response = Some(response);
            }
            End::NotRun(reason) | End::Unknown(reason) => {
                log::info!(
                    id = self.call.request.id(),
                    endpoint:% = record.endpoint,
                    tries = self.tried.len(),
                    load:? = load,
                    reason:%,
                    event:%;
                    "an attempt ended without a response from a backend server"
                );
                self.reason = reason;
            }
        }
        event
    }

    /// Records nodes that have not responded as unreachable, so that further calls avoid them;
    /// returns whether there are any.
    fn mark_silent(&self, running: &RunningAttempts<'_>) -> bool {
        let now = self.node.clock.now();
        let service = &self.call.target.cluster.service;
        let peers = &self.node.peers;
        let mut any_silent = false;
        for record in running.silent() {
            any_silent = true;
            log::warn!(node:% = record.node, next = "its endpoint is avoided for a while"; "another node has not responded at all");
            peers.record_outcome(now, service, &record.endpoint, Signal::Unreachable, None);
            peers.pool(record.address).drop_idle();
        }
        any_silent
    }
}

/// Returns the event for the call's chart, and the health signal for the endpoint.
fn classify(end: &End) -> (Event, Signal) {
    match end {
        End::Answered(response) => match response.status {
            500 | 502 => (Event::Failed, Signal::Failure),
            504 => (Event::Answer, Signal::Failure),
            // Ejecting an overloaded endpoint would only move its calls to others that are as busy.
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
