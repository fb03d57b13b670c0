//! The attempts of a call, from its own node to the nodes of the chosen endpoints.

use std::rc::Rc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use cicadagw_call::attempt::{Action, Attempt, Event, Facts};
use cicadagw_call::choice::Signal;
use cicadagw_call::{Load, Outcome as Kind, Reason};
use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::time::{Moment, Span};
use smallvec::SmallVec;

use crate::answer::Answer;
use crate::exchange::{Destination, Failure, exchange};
use crate::header;
use crate::node::{Node, Plan};
use crate::reply::End;
use crate::request::Request;
use crate::target::{self, Errand, Outcome};

/// By how much, and by no more than a quarter, a node shortens the time that it gives the next one,
/// so that a refusal in words comes back before its own time is over.
const HOP_MARGIN: Span = Span::new(5);

/// A call and its attempts.
pub(crate) struct Journey<'a> {
    node: &'a Rc<Node>,
    errand: Errand<'a>,
    chosen: Option<Record>,
    tried: SmallVec<[id::Endpoint; 4]>,
    answer: Option<Box<Answer>>,
    reason: Reason,
}

impl<'a> Journey<'a> {
    pub(crate) fn new(node: &'a Rc<Node>, errand: Errand<'a>) -> Self {
        Self {
            node,
            errand,
            chosen: None,
            tried: SmallVec::new(),
            answer: None,
            reason: Reason::NoEndpoint,
        }
    }

    /// Does what the chart says until the call is over.
    pub(crate) async fn run(mut self) -> End {
        let service = &self.errand.target.cluster.service;
        let policy = &self.errand.target.policy;
        let peers = &self.node.peers;
        peers.deposit(service, policy.retry_budget);
        let mut attempt = Attempt::new(policy, self.errand.request.method.as_str());
        let mut event = self.choose();
        loop {
            let facts = Facts {
                replayable: self.errand.upload.is_replayable(),
                funded: peers.is_funded(service),
            };
            let actions = attempt.step(event, facts);
            if actions.is_empty() {
                return End::Unknown(self.doubt());
            }
            for action in actions {
                match action {
                    Action::Spend => peers.spend(service),
                    Action::Choose => event = self.choose(),
                    Action::Send => event = self.send().await,
                    Action::PassAnswer => return self.pass_answer(),
                    Action::ReplyNotRun => return End::NotRun(self.reason),
                    Action::ReplyUnknown => return End::Unknown(self.doubt()),
                }
            }
        }
    }

    fn pass_answer(self) -> End {
        self.answer
            .map_or(End::Unknown(Reason::Lost), End::Answered)
    }

    /// Returns why it is not known whether the request ran, whatever came after.
    const fn doubt(&self) -> Reason {
        match self.reason {
            Reason::Deadline => Reason::Deadline,
            _ => Reason::Lost,
        }
    }

    /// Chooses an endpoint among those that take work now.
    fn choose(&mut self) -> Event {
        let now = self.node.clock.now();
        if now >= self.errand.deadline {
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
        let cluster = &self.errand.target.cluster;
        let endpoints = (plan.epoch, &*plan.endpoints);
        self.node.peers.choose(
            now,
            &cluster.service,
            endpoints,
            tried,
            cluster.panic_threshold,
        )
    }

    /// Makes an attempt at the chosen endpoint.
    async fn send(&mut self) -> Event {
        let Some(record) = self.chosen.take() else {
            return Event::Lost;
        };
        if self.tried.len() > 1 {
            self.node.stats.count_retry();
        }
        let visit = self.node.peers.visit(&record);
        let Outcome { end, load } = if self.node.peers.is_here(&record) {
            target::attempt(self.node, &self.errand, &record.endpoint).await
        } else {
            self.forward(&record).await
        };
        let (event, signal) = read(&end);
        let load = if sheds(&end) {
            Some(Load {
                in_flight: record.slots,
                slots: record.slots,
            })
        } else {
            load
        };
        let now = self.node.clock.now();
        self.node
            .peers
            .learn(now, &record.service, &record.endpoint, signal, load);
        match end {
            End::Answered(answer) => {
                answer.flow.hold_visit(visit);
                self.answer = Some(answer);
            }
            End::NotRun(reason) | End::Unknown(reason) => self.reason = reason,
        }
        event
    }

    /// Passes the call to another node.
    async fn forward(&self, record: &Record) -> Outcome {
        let destination = Destination {
            client: self.node.peers.client(record.address),
            authority: record
                .address
                .to_string()
                .parse()
                .expect("an address is an authority"),
            until: self.node.clock.instant(self.errand.deadline),
        };
        let headers = self.headers(record);
        let body = self.errand.upload.body();
        match exchange(&destination, self.errand.request, headers, body).await {
            Ok(response) => {
                let idle_max = self.errand.target.policy.timeout.into();
                take(response, self.errand.request, idle_max)
            }
            Err(Failure::NotSent(reason)) => Outcome::not_run(reason),
            Err(Failure::Sent(reason)) => Outcome {
                end: End::Unknown(reason),
                load: None,
            },
        }
    }

    fn headers(&self, record: &Record) -> HeaderMap {
        let mut headers = self.errand.request.headers.clone();
        let left = self.errand.deadline.since(self.node.clock.now()).get();
        let given = left - HOP_MARGIN.get().min(left / 4);
        headers.insert(header::DEADLINE.clone(), HeaderValue::from(given));
        let hops = self.errand.request.hops.saturating_add(1);
        headers.insert(header::HOPS.clone(), HeaderValue::from(u16::from(hops)));
        set(&mut headers, &header::ENDPOINT, record.endpoint.as_str());
        set(
            &mut headers,
            &header::CLUSTER,
            self.errand.target.name.as_str(),
        );
        set(
            &mut headers,
            &header::POLICY,
            self.errand.target.policy_name.as_str(),
        );
        headers
    }
}

fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    let value = HeaderValue::from_str(value).expect("a name is plain text");
    headers.insert(name.clone(), value);
}

/// Reads what another node says of an attempt. One that says nothing is no node, and may have run
/// the request.
fn take(response: awc::ClientResponse, request: &Request, idle_max: Duration) -> Outcome {
    let text = |name: &HeaderName| response.headers().get(name)?.to_str().ok();
    let kind = text(&header::OUTCOME).and_then(|text| text.parse().ok());
    let reason = text(&header::REASON).and_then(|text| text.parse().ok());
    let load: Option<Load> = text(&header::LOAD).and_then(|text| text.parse().ok());
    let end = match (kind, reason) {
        (Some(Kind::Answered), _) => {
            End::Answered(Box::new(Answer::new(response, &request.method, idle_max)))
        }
        (Some(Kind::NotRun), Some(reason)) => End::NotRun(reason),
        (_, reason) => End::Unknown(reason.unwrap_or(Reason::Lost)),
    };
    Outcome { end, load }
}

/// Tells whether a backend server itself says that it has too much to do. It counts as full for a
/// while; to put it out would only move its calls to others that are as busy.
fn sheds(end: &End) -> bool {
    matches!(end, End::Answered(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE)
}

/// Returns what the end of an attempt means for the call, and for the health of the endpoint.
fn read(end: &End) -> (Event, Signal) {
    match end {
        End::Answered(answer) => {
            let signal = match answer.status.as_u16() {
                502 | 504 => Signal::Failure,
                503 => Signal::Neutral,
                _ => Signal::Success,
            };
            (Event::Answer, signal)
        }
        End::NotRun(Reason::Unreachable) => (Event::Leaving, Signal::Failure),
        End::NotRun(reason) => (reason.refusal(), Signal::Neutral),
        End::Unknown(Reason::Deadline) => (Event::Deadline, Signal::Failure),
        End::Unknown(_) => (Event::Lost, Signal::Failure),
    }
}
