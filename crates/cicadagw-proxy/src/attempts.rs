//! The attempts of a call that are in progress, of which several may run concurrently.

use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_call::{Load, Outcome as Kind, Reason};
use cicadagw_endpoint::Record;
use cicadagw_http::{Fields, client};
use cicadagw_unit::time::Span;
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::delivery::{self, Call, Outcome};
use crate::exchange::{Destination, Failure, exchange};
use crate::header;
use crate::node::Node;
use crate::peers::EndpointCall;
use crate::reply::End;
use crate::response::Response;

/// The time by which a node shortens the deadline that it passes to the next node, but at most a
/// quarter of it, so that a refusal with a reason returns before the node's own deadline.
const HOP_MARGIN: Span = Span::new(5);

/// The maximum idle time of a connection to another node.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// The share of the configured idle timeout, after which the other node closes a connection, for
/// which it is reused, in thousandths. A call sent at that moment would be lost.
const IDLE_PERMILLE_MAX: u32 = 600;

/// An attempt in progress. Dropping it cancels it and closes its connection, which cancels the
/// request at the backend server.
pub(crate) struct RunningAttempt<'a> {
    record: Record,
    endpoint_call: EndpointCall,
    /// Set once the other node has sent any response head, including an interim one.
    has_responded: Rc<Cell<bool>>,
    outcome: Pin<Box<dyn Future<Output = Outcome> + 'a>>,
}

/// A finished attempt.
pub(crate) struct FinishedAttempt {
    pub(crate) record: Record,
    pub(crate) outcome: Outcome,
    pub(crate) endpoint_call: EndpointCall,
}

/// The attempts of a call that are in progress.
#[derive(Default)]
pub(crate) struct RunningAttempts<'a>(SmallVec<[RunningAttempt<'a>; 2]>);

impl<'a> RunningAttempt<'a> {
    /// Starts an attempt at the endpoint of `record`.
    pub(crate) fn start(node: &'a Rc<Node>, call: Call<'a>, record: Record) -> Self {
        let has_responded = Rc::new(Cell::new(node.peers.is_local(&record)));
        let endpoint_call = node.peers.count_call(&record);
        let outcome = Box::pin(run(node, call, record.clone(), has_responded.clone()));
        Self {
            record,
            endpoint_call,
            has_responded,
            outcome,
        }
    }
}

impl<'a> RunningAttempts<'a> {
    pub(crate) fn push(&mut self, attempt: RunningAttempt<'a>) {
        self.0.push(attempt);
    }

    pub(crate) fn extend(&mut self, attempt: Option<RunningAttempt<'a>>) {
        self.0.extend(attempt);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the endpoints whose nodes have not sent any response head, even an interim one.
    pub(crate) fn silent(&self) -> impl Iterator<Item = &Record> {
        let silent = self.0.iter().filter(|attempt| !attempt.has_responded.get());
        silent.map(|attempt| &attempt.record)
    }

    /// Waits until an attempt ends, and removes it.
    pub(crate) async fn next(&mut self) -> FinishedAttempt {
        let (index, outcome) = poll_fn(|cx| {
            for (index, attempt) in self.0.iter_mut().enumerate() {
                if let Poll::Ready(outcome) = attempt.outcome.as_mut().poll(cx) {
                    return Poll::Ready((index, outcome));
                }
            }
            Poll::Pending
        })
        .await;
        let RunningAttempt {
            record,
            endpoint_call,
            ..
        } = self.0.remove(index);
        FinishedAttempt {
            record,
            outcome,
            endpoint_call,
        }
    }
}

async fn run(
    node: &Rc<Node>,
    call: Call<'_>,
    record: Record,
    has_responded: Rc<Cell<bool>>,
) -> Outcome {
    let outcome = if node.peers.is_local(&record) {
        delivery::deliver(node, call, &record.endpoint).await
    } else {
        forward(node, call, &record, &has_responded).await
    };
    let begin = node.clock.now();
    let buffered = outcome.buffer_short(&node.ledger).await;
    // The transfer time counts as work: an endpoint behind a busy link is as slow as one that works
    // slowly.
    let transfer = node.clock.now().since(begin);
    Outcome {
        work: buffered.work.map(|work| work.plus(transfer)),
        ..buffered
    }
}

/// Makes an attempt through the node of the endpoint.
async fn forward(
    node: &Rc<Node>,
    call: Call<'_>,
    record: &Record,
    has_responded: &Cell<bool>,
) -> Outcome {
    let pool = node.peers.pool(record.address);
    let destination = Destination {
        pool: &pool,
        idle_max: idle_max(node),
        deadline: node.clock.instant(call.deadline),
        has_responded,
        echo_field: None,
    };
    let fields = fields(node, call, record);
    match exchange(&destination, call.request, &fields, call.upload).await {
        Ok(response) => {
            let idle_max = call.target.policy.timeout.into();
            interpret(response, idle_max, destination.deadline).await
        }
        Err(Failure::NotSent(reason)) => Outcome::not_run(reason),
        Err(Failure::Sent(reason, loss)) => {
            if let Some(loss) = loss {
                log::info!(id = call.request.id(), node:% = record.node, loss:%; "lost the response of another node");
            }
            Outcome::of(End::Unknown(reason))
        }
    }
}

/// Returns how long a connection to another node may have been idle to be reused.
fn idle_max(node: &Node) -> Duration {
    let closed_after = Duration::from(node.caller_limits().idle_timeout);
    IDLE_MAX.min(closed_after * IDLE_PERMILLE_MAX / 1_000)
}

fn fields(node: &Node, call: Call<'_>, record: &Record) -> Fields {
    let mut fields = call.request.fields.clone();
    let left = call.deadline.since(node.clock.now()).get();
    let passed_on = left - HOP_MARGIN.get().min(left / 4);
    let hops = call.request.hops.saturating_add(1);
    set(&mut fields, header::DEADLINE, &passed_on);
    if let Some(soft_deadline) = call.soft_deadline() {
        let left = soft_deadline.since(node.clock.now()).get();
        set(&mut fields, header::LATENCY_TARGET, &left);
    }
    set(&mut fields, header::HOPS, &hops);
    set(&mut fields, header::ENDPOINT, &record.endpoint);
    set(&mut fields, header::CLUSTER, &call.target.name);
    set(&mut fields, header::POLICY, &call.target.policy_name);
    if let Some(account) = call.account {
        set(&mut fields, header::ACCOUNT, account);
    }
    if let Some(service) = &node.service {
        set(&mut fields, header::CALLER, service);
    }
    fields
}

fn set(fields: &mut Fields, name: &'static str, value: &impl ToString) {
    fields.set(name, Bytes::from(value.to_string()));
}

/// Interprets the response of another node. A response without an outcome field does not come from
/// a node, and the request may have been executed.
///
/// The body of a refusal, which is empty, is read to its end, so that the connection is reused:
/// under overload, every attempt that is shed would otherwise cost a connection.
async fn interpret(response: client::Response, idle_max: Duration, deadline: Instant) -> Outcome {
    let text = |name: &str| response.head.fields.text(name);
    let kind = text(header::OUTCOME).and_then(|text| text.parse().ok());
    let reason = text(header::REASON).and_then(|text| text.parse().ok());
    let load: Option<Load> = text(header::LOAD).and_then(|text| text.parse().ok());
    let work = text(header::WORK).and_then(|text| text.parse().ok());
    let wait = text(header::LIMITED).and_then(|text| text.parse().ok());
    let end = match (kind, reason) {
        (Some(Kind::Answered), _) => {
            End::Answered(Box::new(Response::new(response, idle_max, deadline)))
        }
        (Some(Kind::NotRun), Some(reason)) => {
            delivery::discard(response.body).await;
            End::NotRun(reason)
        }
        (_, reason) => End::Unknown(reason.unwrap_or(Reason::Lost)),
    };
    Outcome {
        end,
        load,
        work: work.map(Span::new),
        retry_in: wait.map(Span::new),
    }
}
