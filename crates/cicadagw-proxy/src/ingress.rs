//! Calls as they arrive: what is refused at once, where a call goes, and what its caller gets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use cicadagw_call::Reason;
use cicadagw_call::refusal::RETRY_AFTER;
use cicadagw_call::route::Target;
use cicadagw_http::Body;
use cicadagw_http::server::Reply;
use cicadagw_unit::time::Timestamp;
use tokio::time::timeout_at;

use crate::listen::Kind;
use crate::node::{Node, Plan};
use crate::relay::Relay;
use crate::reply::{End, tell_node};
use crate::request::Request;
use crate::target::{self, Call, Outcome};
use crate::upload::Upload;

/// Takes a call that has just arrived through `kind`.
pub(crate) async fn handle(
    node: &Rc<Node>,
    kind: Kind,
    head: cicadagw_http::Request,
    body: Body,
) -> Reply {
    let begin = Instant::now();
    let entry = node.enter();
    let is_from_node = kind.is_from_node(&head.fields);
    let Outcome {
        mut end,
        load,
        work,
    } = match admit(node, kind, head) {
        Ok(request) => {
            let outcome = tokio::select! {
                biased;
                outcome = carry(node, &request, body) => outcome,
                () = node.ending.cancelled() => Outcome::of(End::Unknown(Reason::Draining)),
            };
            if !is_from_node && matches!(outcome.end, End::NotRun(_)) {
                node.note_refused(&request);
            }
            if let End::Answered(_) = &outcome.end {
                let added = begin.elapsed().saturating_sub(request.waited());
                node.stats.count_added(added);
            } else if !is_from_node {
                note_unanswered(&request, &outcome.end, begin);
            }
            outcome
        }
        Err(reason) => Outcome::not_run(reason),
    };
    if !is_from_node {
        node.stats.count_outcome(end.outcome());
    }
    if let End::Answered(answer) = &mut end {
        answer.hold_entry(entry);
        answer.pace(node.pacer.clone());
    }
    let mut reply = end.into_reply(&node.dialect.retry_after(RETRY_AFTER));
    if is_from_node {
        tell_node(&mut reply, load, work);
    }
    reply
}

fn note_unanswered(request: &Request, end: &End, begin: Instant) {
    let (End::NotRun(reason) | End::Unknown(reason)) = end else {
        return;
    };
    let outcome = end.outcome();
    let took = begin.elapsed().as_millis();
    // How long before this arrival the caller had asked first; zero unless it was refused before.
    let came_back_ms = request.arrival.since(request.first).get();
    log::info!(id = request.id(), path = request.path(), outcome:%, reason:%, came_back_ms, took_ms = u64::try_from(took).unwrap_or(u64::MAX); "a call was not answered");
}

/// Reads the head of a call and refuses what no node carries.
fn admit(node: &Node, kind: Kind, head: cicadagw_http::Request) -> Result<Request, Reason> {
    let mut request = Request::read(head, node.dialect.header_names(), kind, node.clock.now())?;
    if request.via.is_none() {
        node.recall(&mut request);
    }
    if request.size as u64 > node.limits().headers.get() {
        return Err(Reason::HeaderLimit);
    }
    if request.hops >= node.budget.hops.get() {
        return Err(Reason::HopLimit);
    }
    if node.is_refusing() {
        return Err(Reason::Draining);
    }
    Ok(request)
}

async fn carry(node: &Rc<Node>, request: &Request, body: Body) -> Outcome {
    // The call ends with the configuration that it begins with.
    let plan = node.plan();
    match route(node, &plan, request) {
        Ok((target, deadline)) => {
            let limits = node.limits();
            let reading = Upload::read(body, &limits);
            let until = node.clock.instant(deadline);
            match request.wait(timeout_at(until, reading)).await {
                Ok(Ok(upload)) => {
                    let call = Call {
                        request,
                        target: &target,
                        upload: &upload,
                        deadline,
                    };
                    serve(node, call).await
                }
                Ok(Err(reason)) => Outcome::not_run(reason),
                Err(_) => Outcome::not_run(Reason::Deadline),
            }
        }
        Err(reason) => Outcome::not_run(reason),
    }
}

/// Finds out where a call goes, and by when it must be answered.
fn route(node: &Node, plan: &Plan, request: &Request) -> Result<(Arc<Target>, Timestamp), Reason> {
    let index = plan.index.as_ref().ok_or(Reason::NoConfiguration)?;
    let target = match &request.via {
        Some(via) => {
            let (_, service) = node.gate(&via.endpoint)?;
            index.resolve(&via.cluster, &via.policy, &service)
        }
        None => index
            .find(
                request.line(),
                |name, value| request.has_header(name, value),
                node.peers.draw(),
            )
            .cloned(),
    };
    let target = target.ok_or(Reason::NoRoute)?;
    let deadline = request.deadline(target.policy.timeout);
    Ok((target, deadline))
}

/// Serves a call, here when another node has chosen the endpoint, and else where the choice falls.
async fn serve(node: &Rc<Node>, call: Call<'_>) -> Outcome {
    match &call.request.via {
        // What is here gives its place at the backend server back, however busy the link is.
        Some(via) => {
            target::attempt(node, call, &via.endpoint)
                .await
                .settle()
                .await
        }
        None => Outcome::of(Relay::new(node, call).run().await),
    }
}
