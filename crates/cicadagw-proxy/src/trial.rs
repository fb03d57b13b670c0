//! Single attempts of a call, some of them side by side.

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

use crate::answer::Answer;
use crate::exchange::{Destination, Failure, exchange};
use crate::header;
use crate::node::Node;
use crate::peers::Visit;
use crate::reply::End;
use crate::target::{self, Call, Outcome};

/// By how much, and by no more than a quarter, a node shortens the time that it gives the next one,
/// so that a refusal in words comes back before its own time is over.
const HOP_MARGIN: Span = Span::new(5);

/// How long a connection to another node may have been idle.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// An attempt under way. Dropped, it ends, and its backend server is told to stop.
pub(crate) struct Trial<'a> {
    record: Record,
    visit: Visit,
    /// Set once the other side has said anything.
    is_responsive: Rc<Cell<bool>>,
    outcome: Pin<Box<dyn Future<Output = Outcome> + 'a>>,
}

/// An attempt that has ended.
pub(crate) struct Ended {
    pub(crate) record: Record,
    pub(crate) outcome: Outcome,
    pub(crate) visit: Visit,
}

/// The attempts of a call that are under way.
#[derive(Default)]
pub(crate) struct Trials<'a>(SmallVec<[Trial<'a>; 2]>);

impl<'a> Trial<'a> {
    /// Starts an attempt at the endpoint of `record`.
    pub(crate) fn start(node: &'a Rc<Node>, call: Call<'a>, record: Record) -> Self {
        let is_responsive = Rc::new(Cell::new(node.peers.is_here(&record)));
        let visit = node.peers.visit(&record);
        let outcome = Box::pin(run(node, call, record.clone(), is_responsive.clone()));
        Self {
            record,
            visit,
            is_responsive,
            outcome,
        }
    }
}

impl<'a> Trials<'a> {
    pub(crate) fn push(&mut self, trial: Trial<'a>) {
        self.0.push(trial);
    }

    pub(crate) fn extend(&mut self, trial: Option<Trial<'a>>) {
        self.0.extend(trial);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the endpoints whose nodes have said nothing.
    pub(crate) fn silent(&self) -> impl Iterator<Item = &Record> {
        let silent = self.0.iter().filter(|trial| !trial.is_responsive.get());
        silent.map(|trial| &trial.record)
    }

    /// Waits for the next attempt to end.
    pub(crate) async fn next(&mut self) -> Ended {
        let (index, outcome) = poll_fn(|cx| {
            for (index, trial) in self.0.iter_mut().enumerate() {
                if let Poll::Ready(outcome) = trial.outcome.as_mut().poll(cx) {
                    return Poll::Ready((index, outcome));
                }
            }
            Poll::Pending
        })
        .await;
        let Trial { record, visit, .. } = self.0.remove(index);
        Ended {
            record,
            outcome,
            visit,
        }
    }
}

async fn run(
    node: &Rc<Node>,
    call: Call<'_>,
    record: Record,
    is_responsive: Rc<Cell<bool>>,
) -> Outcome {
    let outcome = if node.peers.is_here(&record) {
        target::attempt(node, call, &record.endpoint).await
    } else {
        forward(node, call, &record, &is_responsive).await
    };
    let begin = node.clock.now();
    let settled = outcome.settle().await;
    // An endpoint behind a busy link is as slow as one that works slowly.
    let transfer = node.clock.now().since(begin);
    Outcome {
        work: settled.work.map(|work| work.plus(transfer)),
        ..settled
    }
}

/// Makes an attempt over the node of an endpoint.
async fn forward(
    node: &Rc<Node>,
    call: Call<'_>,
    record: &Record,
    is_responsive: &Cell<bool>,
) -> Outcome {
    let pool = node.peers.pool(record.address);
    let destination = Destination {
        pool: &pool,
        idle_max: IDLE_MAX,
        until: node.clock.instant(call.deadline),
        is_responsive,
        echo: None,
    };
    let fields = fields(node, call, record);
    match exchange(&destination, call.request, &fields, call.upload).await {
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

fn fields(node: &Node, call: Call<'_>, record: &Record) -> Fields {
    let mut fields = call.request.fields.clone();
    let left = call.deadline.since(node.clock.now()).get();
    let given = left - HOP_MARGIN.get().min(left / 4);
    let hops = call.request.hops.saturating_add(1);
    set(&mut fields, header::DEADLINE, &given);
    if let Some(target) = call.target_time() {
        let left = target.since(node.clock.now()).get();
        set(&mut fields, header::TARGET, &left);
    }
    set(&mut fields, header::HOPS, &hops);
    set(&mut fields, header::ENDPOINT, &record.endpoint);
    set(&mut fields, header::CLUSTER, &call.target.name);
    set(&mut fields, header::POLICY, &call.target.policy_name);
    if let Some(service) = &node.service {
        set(&mut fields, header::CALLER, service);
    }
    fields
}

fn set(fields: &mut Fields, name: &'static str, value: &impl ToString) {
    fields.set(name, Bytes::from(value.to_string()));
}

/// Reads what another node says of an attempt. One that says nothing is no node, and may have run
/// the request.
fn take(answer: client::Response, idle_max: Duration) -> Outcome {
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
