//! The first half of a call: from the caller to the node of the chosen endpoint.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::dev::Payload;
use actix_web::http::ConnectionType;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::{HttpRequest, HttpResponse};
use cicadagw_call::attempt::{Action, Attempt, Event, Facts};
use cicadagw_call::choice::Signal;
use cicadagw_call::route::Target;
use cicadagw_call::{Load, Outcome as Kind, Reason};
use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::time::{Moment, Span};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::answer::Answer;
use crate::exchange::{Destination, Failure, exchange};
use crate::header;
use crate::node::{Node, Plan};
use crate::reply::End;
use crate::request::Request;
use crate::target::{self, Errand, Outcome};
use crate::upload::Upload;

/// By how much, and by no more than a quarter, a node shortens the time that it gives the next one,
/// so that a refusal in words comes back before its own time is over.
const HOP_MARGIN: Span = Span::new(5);

/// Takes a call that has just arrived.
pub(crate) async fn handle(node: Rc<Node>, raw: HttpRequest, payload: Payload) -> HttpResponse {
    let begin = Instant::now();
    let entry = node.enter();
    let is_from_node = raw.headers().contains_key(&header::ENDPOINT);
    let Outcome { end, load } = match admit(&node, &raw) {
        Ok(request) => {
            let outcome = carry(&node, &request, payload).await;
            if let End::Answered(_) = &outcome.end {
                let added = begin.elapsed().saturating_sub(request.waited());
                node.stats.count_added(added);
            }
            outcome
        }
        Err(reason) => Outcome::not_run(reason),
    };
    if !is_from_node {
        node.stats.count_outcome(end.outcome());
    }
    match &end {
        End::Answered(answer) => {
            answer.flow.hold_entry(entry);
            node.watch(answer.flow.watch());
        }
        End::NotRun(reason) | End::Unknown(reason) => {
            log::debug!(reason:%, path = raw.path(); "a call was not answered");
        }
    }
    let mut response = end.into_response(load.filter(|_| is_from_node));
    if node.is_stopping() {
        // The caller is to find another node instead of using this connection again.
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

/// Reads the head of a call and refuses what no node carries.
fn admit(node: &Node, raw: &HttpRequest) -> Result<Request, Reason> {
    let request = Request::read(raw, node.clock.now())?;
    if request.header_size() > node.limits.headers {
        return Err(Reason::HeaderLimit);
    }
    if request.hops >= node.budget.hops.get() {
        return Err(Reason::HopLimit);
    }
    if node.is_stopping() {
        return Err(Reason::Draining);
    }
    Ok(request)
}

async fn carry(node: &Rc<Node>, request: &Request, payload: Payload) -> Outcome {
    // The call ends with the configuration that it begins with.
    let plan = node.plan();
    match steer(node, &plan, request) {
        Ok((target, deadline)) => {
            let reading = Upload::read(request, payload, &node.limits);
            let until = node.clock.instant(deadline);
            match request.wait(timeout_at(until, reading)).await {
                Ok(Ok(upload)) => serve(node, request, &target, &upload, deadline).await,
                Ok(Err(reason)) => Outcome::not_run(reason),
                Err(_) => Outcome::not_run(Reason::Deadline),
            }
        }
        Err(reason) => Outcome::not_run(reason),
    }
}

/// Finds out where a call goes, and by when it must be answered.
fn steer(node: &Node, plan: &Plan, request: &Request) -> Result<(Arc<Target>, Moment), Reason> {
    let index = plan.index.as_ref().ok_or(Reason::NoConfiguration)?;
    let target = match &request.via {
        Some(via) => {
            let (_, service) = node.gate(&via.endpoint)?;
            index.resolve(&via.cluster, &via.policy, &service)
        }
        None => index
            .find(request.line(), |name, value| {
                request.has_header(name, value)
            })
            .cloned(),
    };
    let target = target.ok_or(Reason::NoRoute)?;
    let deadline = request.deadline(target.policy.timeout);
    Ok((target, deadline))
}

/// Serves a call, here when another node has chosen the endpoint, and else where the choice falls.
async fn serve(
    node: &Rc<Node>,
    request: &Request,
    target: &Target,
    upload: &Rc<Upload>,
    deadline: Moment,
) -> Outcome {
    if let Some(via) = &request.via {
        let errand = Errand {
            endpoint: &via.endpoint,
            target,
            request,
            upload,
            deadline,
        };
        return target::attempt(node, &errand).await;
    }
    let journey = Journey {
        node,
        request,
        target,
        upload,
        deadline,
        chosen: None,
        tried: SmallVec::new(),
        answer: None,
        reason: Reason::NoEndpoint,
    };
    Outcome {
        end: journey.run().await,
        load: None,
    }
}

/// A call and its attempts.
struct Journey<'a> {
    node: &'a Rc<Node>,
    request: &'a Request,
    target: &'a Target,
    upload: &'a Rc<Upload>,
    deadline: Moment,
    chosen: Option<Record>,
    tried: SmallVec<[id::Endpoint; 4]>,
    answer: Option<Box<Answer>>,
    reason: Reason,
}

impl Journey<'_> {
    /// Does what the chart says until the call is over.
    async fn run(mut self) -> End {
        let service = &self.target.cluster.service;
        let policy = &self.target.policy;
        let peers = &self.node.peers;
        peers.deposit(service, policy.retry_budget);
        let mut attempt = Attempt::new(policy, self.request.method.as_str());
        let mut event = self.choose();
        loop {
            let facts = Facts {
                replayable: self.upload.is_replayable(),
                funded: peers.is_funded(service),
            };
            let actions = attempt.step(event, facts);
            if actions.is_empty() {
                return End::Unknown(self.reason);
            }
            for action in actions {
                match action {
                    Action::Spend => peers.spend(service),
                    Action::Choose => event = self.choose(),
                    Action::Send => event = self.send().await,
                    Action::PassAnswer => return self.pass_answer(),
                    Action::ReplyNotRun => return End::NotRun(self.reason),
                    Action::ReplyUnknown => return End::Unknown(self.reason),
                }
            }
        }
    }

    fn pass_answer(self) -> End {
        self.answer
            .map_or(End::Unknown(Reason::Lost), End::Answered)
    }

    /// Chooses an endpoint among those that take work now.
    fn choose(&mut self) -> Event {
        let now = self.node.clock.now();
        if now >= self.deadline {
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
        let cluster = &self.target.cluster;
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
            let errand = Errand {
                endpoint: &record.endpoint,
                target: self.target,
                request: self.request,
                upload: self.upload,
                deadline: self.deadline,
            };
            target::attempt(self.node, &errand).await
        } else {
            self.forward(&record).await
        };
        let (event, signal) = read(&end);
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
            until: self.node.clock.instant(self.deadline),
        };
        let headers = self.headers(record);
        let body = self.upload.body();
        match exchange(&destination, self.request, headers, body).await {
            Ok(response) => {
                let idle_max = self.target.policy.timeout.into();
                take(response, self.request, idle_max)
            }
            Err(Failure::NotSent(reason)) => Outcome::not_run(reason),
            Err(Failure::Sent(reason)) => Outcome {
                end: End::Unknown(reason),
                load: None,
            },
        }
    }

    fn headers(&self, record: &Record) -> HeaderMap {
        let mut headers = self.request.headers.clone();
        let left = self.deadline.since(self.node.clock.now()).get();
        let given = left - HOP_MARGIN.get().min(left / 4);
        headers.insert(header::DEADLINE.clone(), HeaderValue::from(given));
        let hops = self.request.hops.saturating_add(1);
        headers.insert(header::HOPS.clone(), HeaderValue::from(u16::from(hops)));
        set(&mut headers, &header::ENDPOINT, record.endpoint.as_str());
        set(&mut headers, &header::CLUSTER, self.target.name.as_str());
        set(
            &mut headers,
            &header::POLICY,
            self.target.policy_name.as_str(),
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

/// Returns what the end of an attempt means for the call, and for the health of the endpoint.
fn read(end: &End) -> (Event, Signal) {
    match end {
        End::Answered(answer) => {
            let signal = match answer.status.as_u16() {
                502..=504 => Signal::Failure,
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
