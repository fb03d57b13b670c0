//! Calls as they arrive: what is refused at once, where a call goes, and what its caller gets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_web::dev::Payload;
use actix_web::http::ConnectionType;
use actix_web::{HttpRequest, HttpResponse};
use cicadagw_call::Reason;
use cicadagw_call::route::Target;
use cicadagw_unit::time::Moment;
use tokio::time::timeout_at;

use crate::header;
use crate::journey::Journey;
use crate::node::{Node, Plan};
use crate::reply::End;
use crate::request::Request;
use crate::target::{self, Errand, Outcome};
use crate::upload::Upload;

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
                Ok(Ok(upload)) => {
                    let errand = Errand {
                        request,
                        target: &target,
                        upload: &upload,
                        deadline,
                    };
                    serve(node, errand).await
                }
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
async fn serve(node: &Rc<Node>, errand: Errand<'_>) -> Outcome {
    match &errand.request.via {
        Some(via) => target::attempt(node, &errand, &via.endpoint).await,
        None => Outcome {
            end: Journey::new(node, errand).run().await,
            load: None,
        },
    }
}
