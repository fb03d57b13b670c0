//! The attempts of a call, from its own node to the nodes of the chosen endpoints.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_call::attempt::{Action, Attempt, Event, Facts};
use cicadagw_call::choice::Signal;
use cicadagw_call::{Load, Outcome as Kind, Reason};
use cicadagw_endpoint::Record;
use cicadagw_http::Fields;
use cicadagw_http::client;
use cicadagw_unit::id;
use cicadagw_unit::size::Bytes as Size;
use cicadagw_unit::time::{Moment, Span};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::answer::Answer;
use crate::exchange::{Destination, Failure, exchange};
use crate::header;
use crate::node::{Node, Plan};
use crate::reply::End;
use crate::target::{self, Call, Outcome};

/// By how much, and by no more than a quarter, a node shortens the time that it gives the next one,
/// so that a refusal in words comes back before its own time is over.
const HOP_MARGIN: Span = Span::new(5);

/// How long a connection to another node may have been idle.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// How long another node may say nothing at all: it confirms every call that takes longer than
/// [`crate::node::CONFIRM`], and the round trip between regions is added.
const SILENCE_MAX: Duration = Duration::from_millis(450);

/// How many times the usual work of a call an attempt may take before another endpoint is tried.
const PATIENCE: u64 = 4;

/// What is added to that, and the least time that an attempt gets.
const PATIENCE_MIN: Span = Span::new(300);

/// How much of an answer is held back until it is whole, in bytes. Memory for it is taken by calls
/// under way alone.
const HOLD_MAX: u64 = 256 << 10;

/// How long an answer is held back for that.
const HOLD_TIME: Duration = Duration::from_millis(250);

/// A call and its attempts.
pub(crate) struct Relay<'a> {
    node: &'a Rc<Node>,
    call: Call<'a>,
    chosen: Option<Record>,
    tried: SmallVec<[id::Endpoint; 4]>,
    answer: Option<Box<Answer>>,
    reason: Reason,
    sends: u32,
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
            sends: 0,
        }
    }

    /// Does what the chart says until the call is over.
    pub(crate) async fn run(mut self) -> End {
        let service = &self.call.target.cluster.service;
        let policy = &self.call.target.policy;
        let peers = &self.node.peers;
        peers.deposit(service, policy.retry_budget);
        let method = std::str::from_utf8(&self.call.request.method).unwrap_or_default();
        let mut attempt = Attempt::new(policy, method);
        let mut event = self.choose();
        loop {
            let facts = Facts {
                replayable: self.call.upload.is_replayable(),
                funded: peers.is_funded(service) && self.is_worthwhile(),
            };
            let actions = attempt.step(event, facts);
            if actions.is_empty() {
                return self.doubtful();
            }
            for action in actions {
                match action {
                    Action::Spend => {
                        self.node.stats.count_retry();
                        peers.spend(service);
                    }
                    Action::Choose => event = self.choose(),
                    Action::Send => event = self.send(&attempt).await,
                    Action::PassAnswer => return self.pass_answer(),
                    Action::ReplyNotRun => return End::NotRun(self.reason),
                    Action::ReplyUnknown => return self.doubtful(),
                }
            }
        }
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

    /// Tells whether there is time for one more attempt.
    fn is_worthwhile(&self) -> bool {
        let target = self.call.target;
        let left = self.call.deadline.since(self.node.clock.now());
        let typical = self
            .node
            .peers
            .typical(&target.cluster.service, &target.policy_name);
        typical.is_none_or(|typical| left > typical)
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

    fn pick(&self, now: Moment, plan: &Plan, tried: &[id::Endpoint]) -> Option<Record> {
        let target = self.call.target;
        let endpoints = (plan.epoch, &*plan.endpoints);
        self.node
            .peers
            .choose(now, &target.cluster, endpoints, tried, &target.policy_name)
    }

    /// Makes an attempt at the chosen endpoint.
    async fn send(&mut self, attempt: &Attempt) -> Event {
        let Some(record) = self.chosen.clone() else {
            return Event::NoEndpoint;
        };
        self.sends += 1;
        let visit = self.node.peers.visit(&record);
        let Outcome { end, load, work } = {
            let mut trying = pin!(self.attempt(&record, attempt));
            match self.patience(attempt) {
                Some(patience) => match timeout(patience.into(), &mut trying).await {
                    Ok(outcome) => outcome,
                    Err(_) if self.can_follow(attempt) => Outcome::of(End::Unknown(Reason::Lost)),
                    // Nobody else can be asked by now, so this one may still answer.
                    Err(_) => trying.await,
                },
                None => trying.await,
            }
        };
        let end = self.settled(end).await;
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
                    let size = Size::new(answer.size());
                    peers.measure(now, &record, &target.policy_name, work, size);
                }
                answer.hold_visit(visit);
                self.answer = Some(answer);
            }
            End::NotRun(reason) | End::Unknown(reason) => {
                log::info!(
                    id = self.call.request.id(),
                    endpoint:% = record.endpoint,
                    tries = self.sends,
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

    /// Returns how long an attempt may take if another one can follow it.
    fn patience(&self, attempt: &Attempt) -> Option<Span> {
        if !self.can_follow(attempt) {
            return None;
        }
        let target = self.call.target;
        let service = &target.cluster.service;
        let typical = self.node.peers.typical(service, &target.policy_name)?;
        let patience = PATIENCE_MIN.get() + typical.get() * PATIENCE;
        let left = self.call.deadline.since(self.node.clock.now());
        (patience + typical.get() < left.get()).then(|| Span::new(patience))
    }

    /// Tells whether another attempt can follow the one under way.
    fn can_follow(&self, attempt: &Attempt) -> bool {
        let service = &self.call.target.cluster.service;
        let peers = &self.node.peers;
        attempt.may_repeat()
            && self.call.upload.is_replayable()
            && peers.is_funded(service)
            && peers.has_other(service, &self.tried)
    }

    async fn attempt(&self, record: &Record, attempt: &Attempt) -> Outcome {
        if self.node.peers.is_here(record) {
            target::attempt(self.node, self.call, &record.endpoint).await
        } else {
            self.forward(record, attempt).await
        }
    }

    /// Makes an attempt over the node of an endpoint.
    async fn forward(&self, record: &Record, attempt: &Attempt) -> Outcome {
        let call = self.call;
        let pool = self.node.peers.pool(record.address);
        let heard = Cell::new(false);
        let destination = Destination {
            pool: &pool,
            idle_max: IDLE_MAX,
            until: self.node.clock.instant(call.deadline),
            heard: &heard,
            echo: None,
        };
        let fields = self.fields(record);
        let exchanging = exchange(&destination, call.request, &fields, call.upload);
        let mut exchanging = pin!(exchanging);
        let answer = tokio::select! {
            answer = &mut exchanging => answer,
            () = sleep(SILENCE_MAX) => {
                if !heard.get() {
                    self.note_silence(record);
                    if self.can_follow(attempt) {
                        return Outcome::of(End::Unknown(Reason::Lost));
                    }
                }
                exchanging.await
            }
        };
        match answer {
            Ok(answer) => take(answer, call.target.policy.timeout.into()),
            Err(Failure::NotSent(reason)) => Outcome::not_run(reason),
            Err(Failure::Sent(reason, loss)) => {
                if let Some(loss) = loss {
                    log::info!(id = call.request.id(), node:% = record.node, loss:%; "another node did not answer");
                }
                Outcome::of(End::Unknown(reason))
            }
        }
    }

    /// Takes note that the node of an endpoint says nothing, so that further calls avoid it.
    fn note_silence(&self, record: &Record) {
        log::warn!(node:% = record.node, next = "its endpoint is avoided for a while"; "another node is silent");
        let service = &self.call.target.cluster.service;
        let now = self.node.clock.now();
        let peers = &self.node.peers;
        peers.learn(now, service, &record.endpoint, Signal::Unreachable, None);
    }

    /// Waits for short answers to be whole; one that is cut before anything of it went to the caller
    /// counts as lost.
    async fn settled(&self, end: End) -> End {
        let End::Answered(mut answer) = end else {
            return end;
        };
        match answer.settle(HOLD_MAX, HOLD_TIME).await {
            Ok(()) => End::Answered(answer),
            Err(_) => End::Unknown(Reason::Lost),
        }
    }

    fn fields(&self, record: &Record) -> Fields {
        let call = self.call;
        let mut fields = call.request.fields.clone();
        let left = call.deadline.since(self.node.clock.now()).get();
        let given = left - HOP_MARGIN.get().min(left / 4);
        let hops = call.request.hops.saturating_add(1);
        set(&mut fields, header::DEADLINE, &given);
        if let Some(target) = call.target_time() {
            let left = target.since(self.node.clock.now()).get();
            set(&mut fields, header::TARGET, &left);
        }
        set(&mut fields, header::HOPS, &hops);
        set(&mut fields, header::ENDPOINT, &record.endpoint);
        set(&mut fields, header::CLUSTER, &call.target.name);
        set(&mut fields, header::POLICY, &call.target.policy_name);
        if let Some(service) = &self.node.service {
            set(&mut fields, header::CALLER, service);
        }
        fields
    }
}

fn set(fields: &mut Fields, name: &'static str, value: &impl ToString) {
    fields.set(name, Bytes::from(value.to_string()));
}

/// Reads what another node says of an attempt. One that says nothing is no node, and may have run
/// the request.
fn take(answer: client::Answer, idle_max: Duration) -> Outcome {
    let text = |name: &str| answer.head.fields.text(name);
    let kind = text(header::OUTCOME).and_then(|text| text.parse().ok());
    let reason = text(header::REASON).and_then(|text| text.parse().ok());
    let load: Option<Load> = text(header::LOAD).and_then(|text| text.parse().ok());
    let work = text(header::WORK).and_then(|text| text.parse().ok());
    let end = match (kind, reason) {
        (Some(Kind::Answered), _) => End::Answered(Box::new(Answer::new(answer, idle_max))),
        (Some(Kind::NotRun), Some(reason)) => End::NotRun(reason),
        (_, reason) => End::Unknown(reason.unwrap_or(Reason::Lost)),
    };
    Outcome {
        end,
        load,
        work: work.map(Span::new),
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
        End::NotRun(reason) => (reason.refusal(), Signal::Neutral),
        End::Unknown(Reason::Deadline) => (Event::Deadline, Signal::Failure),
        End::Unknown(_) => (Event::Lost, Signal::Failure),
    }
}
