//! The second half of a call: from a backend server's own node to the backend server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_call::admission::Constraints;
use cicadagw_call::route::Target;
use cicadagw_call::{Load, Reason};
use cicadagw_dialect::HeaderNames;
use cicadagw_http::client::Incoming;
use cicadagw_http::{Fields, Response};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{id, size};
use tokio::time::timeout;

use crate::answer::Answer;
use crate::exchange::{Destination, Failure, exchange};
use crate::gate::{Gate, Slot};
use crate::node::Node;
use crate::reply::End;
use crate::request::Request;
use crate::upload::Upload;

/// How long a connection to a backend server may have been idle for a call that must not run twice:
/// a server that closes an idle connection as the call is sent leaves in doubt whether it ran.
const IDLE_MAX_ONCE: Duration = Duration::from_millis(1_500);

/// How long it may have been idle for other calls; the server may name less.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// How long the body of a refusal is read on.
const DISCARD_MAX: Duration = Duration::from_millis(20);

/// How much of an answer is held back until it is whole, in bytes. Memory for it is taken by calls
/// under way alone.
const HOLD_MAX: u64 = 256 << 10;

/// How long an answer is held back for that.
const HOLD_TIME: Duration = Duration::from_millis(250);

/// A call that is on its way.
#[derive(Clone, Copy)]
pub(crate) struct Call<'a> {
    pub(crate) target: &'a Target,
    pub(crate) request: &'a Request,
    pub(crate) upload: &'a Upload,
    pub(crate) deadline: Timestamp,
}

/// How an attempt ended, and what is known of the backend server since.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) end: End,
    /// How busy the backend server was.
    pub(crate) load: Option<Load>,
    /// How long it worked up to the head of its answer.
    pub(crate) work: Option<Span>,
}

impl Outcome {
    pub(crate) const fn not_run(reason: Reason) -> Self {
        Self::of(End::NotRun(reason))
    }

    pub(crate) const fn of(end: End) -> Self {
        Self {
            end,
            load: None,
            work: None,
        }
    }

    /// Waits for short answers to be whole; one that is cut before anything of it went to the caller
    /// counts as lost.
    pub(crate) async fn settle(self) -> Self {
        let end = match self.end {
            End::Answered(mut answer) => match answer.settle(HOLD_MAX, HOLD_TIME).await {
                Ok(()) => End::Answered(answer),
                Err(_) => End::Unknown(Reason::Lost),
            },
            end => end,
        };
        Self { end, ..self }
    }
}

/// Takes a call to a backend server of this host, once there is a place for it.
pub(crate) async fn attempt(node: &Rc<Node>, call: Call<'_>, endpoint: &id::Endpoint) -> Outcome {
    let gate = match node.gate(endpoint) {
        Ok((gate, _)) => gate,
        Err(reason) => return Outcome::not_run(reason),
    };
    let policy = &call.target.policy;
    let limit = Constraints {
        policy: call.target.policy_name.clone(),
        concurrency: policy.concurrency,
        queue: policy.queue,
        priority: policy.priority,
        soft_deadline: call.target_time(),
        target_latency: policy.target_latency,
        // An answer to a caller of this host goes over its link wherever the call runs.
        link_backlog: match call.request.via {
            Some(_) => node.pacer.backlog(),
            None => Span::new(0),
        },
    };
    let entering = gate.enter(call.deadline, limit);
    match call.request.wait(entering).await {
        Ok(slot) => send(node, &gate, slot, call).await,
        Err(reason) => {
            if reason == Reason::Shed {
                node.stats.count_shed();
            }
            Outcome {
                load: Some(gate.load()),
                ..Outcome::not_run(reason)
            }
        }
    }
}

async fn send(node: &Rc<Node>, gate: &Rc<Gate>, slot: Slot, call: Call<'_>) -> Outcome {
    let names = node.dialect.header_names();
    let is_responsive = Cell::new(false);
    let destination = Destination {
        pool: &gate.pool,
        idle_max: if call.may_repeat() {
            IDLE_MAX
        } else {
            IDLE_MAX_ONCE
        },
        until: node.clock.instant(call.deadline),
        is_responsive: &is_responsive,
        echo: names.attempt,
    };
    let begin = node.clock.now();
    let fields = fields(node, gate, call);
    let outcome = exchange(&destination, call.request, &fields, call.upload).await;
    let work = node.clock.now().since(begin);
    let end = match outcome {
        Ok(answer) => match judge(names, &answer.head, call.request) {
            Verdict::Answered => {
                let mut answer = Answer::new(answer, call.target.policy.timeout.into());
                if let Some(length) = answer.length() {
                    gate.weigh(&call.target.policy_name, size::Bytes::new(length));
                }
                if answer.length().is_some() {
                    // It is made already, and all that is left to do is to carry it.
                    slot.finish();
                } else {
                    answer.hold_slot(slot);
                }
                End::Answered(Box::new(answer))
            }
            Verdict::NotRun(reason) => {
                discard(answer.body).await;
                End::NotRun(reason)
            }
            Verdict::Unusable(why) => {
                let status = answer.head.status;
                log::info!(id = call.request.id(), endpoint:% = gate.endpoint, status, why; "an answer cannot be trusted");
                End::Unknown(Reason::Lost)
            }
        },
        Err(Failure::NotSent(reason)) => {
            if reason == Reason::Unreachable {
                node.lose(&gate.endpoint);
            }
            End::NotRun(reason)
        }
        Err(Failure::Sent(reason, loss)) => {
            if let Some(loss) = loss {
                log::info!(id = call.request.id(), endpoint:% = gate.endpoint, loss:%; "an answer was lost");
            }
            End::Unknown(reason)
        }
    };
    Outcome {
        work: matches!(end, End::Answered(_)).then_some(work),
        end,
        load: Some(gate.load()),
    }
}

impl Call<'_> {
    /// Returns until when the answer is worth most.
    pub(crate) fn target_time(&self) -> Option<Timestamp> {
        let request = self.request;
        if request.via.is_some() {
            return request.target_left.map(|left| request.arrival.after(left));
        }
        let latency = self.target.policy.target_latency;
        latency.map(|latency| request.first.after(latency))
    }

    /// Tells whether the call may run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        let method = std::str::from_utf8(&self.request.method).unwrap_or_default();
        cicadagw_call::attempt::is_idempotent(self.target.policy.idempotency, method)
    }
}

/// Returns the fields for the backend server; the secret is among these alone.
fn fields(node: &Node, gate: &Gate, call: Call<'_>) -> Fields {
    let names = node.dialect.header_names();
    let mut fields = call.request.fields.clone();
    let left = call.deadline.since(node.clock.now()).get();
    fields.set(names.deadline, Bytes::from(left.to_string()));
    if let Some(name) = names.hops {
        let hops = call.request.hops.saturating_add(1);
        fields.set(name, Bytes::from(hops.to_string()));
    }
    if let Some(name) = names.endpoint {
        fields.set(name, Bytes::from(gate.endpoint.to_string()));
    }
    if let Some(name) = names.caller {
        let caller = call.request.caller.as_ref().or(node.service.as_ref());
        if let Some(caller) = caller {
            fields.set(name, Bytes::from(caller.to_string()));
        }
    }
    if let Some(secret) = &call.target.secret {
        fields.remove(&secret.header);
        fields.push(
            Bytes::copy_from_slice(secret.header.as_bytes()),
            Bytes::copy_from_slice(secret.value.reveal().as_bytes()),
        );
    }
    fields
}

/// Reads a short body to its end, so that its connection can be used again.
async fn discard(mut body: Incoming) {
    let reading = async { while let Ok(Some(_)) = body.next().await {} };
    // What is not there yet is not worth waiting for: the connection is closed instead.
    timeout(DISCARD_MAX, reading).await.ok();
}

/// What a response of a backend server is worth.
enum Verdict {
    /// It is the answer.
    Answered,
    /// The request has not run.
    NotRun(Reason),
    /// It may have run, and this is not its answer.
    Unusable(&'static str),
}

/// Judges a response by what the dialect demands of one.
fn judge(names: &HeaderNames, head: &Response, request: &Request) -> Verdict {
    let Some(not_run) = names.not_run else {
        return Verdict::Answered;
    };
    let says_not_run = head.fields.has(not_run);
    match head.status {
        421 => return Verdict::NotRun(Reason::Gone),
        400 if says_not_run => return Verdict::NotRun(Reason::BadRequest),
        _ if says_not_run => return Verdict::NotRun(Reason::Rejected),
        // To a caller these would mean that the request has not run.
        408 | 429 | 503 => return Verdict::Unusable("a refusal that does not say not run"),
        _ => {}
    }
    if !(200..300).contains(&head.status) {
        return Verdict::Answered;
    }
    let is_sealed = names.seal.is_none_or(|seal| head.fields.has(seal));
    let is_echoed = names
        .attempt
        .is_none_or(|name| head.fields.get(name) == request.attempt.as_ref());
    if !is_sealed || !is_echoed {
        return Verdict::Unusable("a success without its seal or its id");
    }
    if head.fields.has("content-encoding") {
        return Verdict::Unusable("an encoded body that nobody asked for");
    }
    Verdict::Answered
}
