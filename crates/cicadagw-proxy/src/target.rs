//! The second half of a call: from a backend server's own node to the backend server.

use std::rc::Rc;

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use cicadagw_call::admission::Limit;
use cicadagw_call::route::Target;
use cicadagw_call::{Load, Reason};
use cicadagw_unit::id;
use cicadagw_unit::time::Moment;

use crate::answer::Answer;
use crate::exchange::{Destination, Failure, exchange};
use crate::gate::{Gate, Slot};
use crate::header;
use crate::node::Node;
use crate::reply::End;
use crate::request::Request;
use crate::upload::Upload;

/// A call that is on its way.
pub(crate) struct Errand<'a> {
    pub(crate) target: &'a Target,
    pub(crate) request: &'a Request,
    pub(crate) upload: &'a Rc<Upload>,
    pub(crate) deadline: Moment,
}

/// How an attempt ended, and how busy the backend server was then.
pub(crate) struct Outcome {
    pub(crate) end: End,
    pub(crate) load: Option<Load>,
}

impl Outcome {
    pub(crate) const fn not_run(reason: Reason) -> Self {
        Self {
            end: End::NotRun(reason),
            load: None,
        }
    }
}

/// Takes a call to a backend server of this host, once there is a place for it.
pub(crate) async fn attempt(
    node: &Rc<Node>,
    errand: &Errand<'_>,
    endpoint: &id::Endpoint,
) -> Outcome {
    let gate = match node.gate(endpoint) {
        Ok((gate, _)) => gate,
        Err(reason) => return Outcome::not_run(reason),
    };
    let policy = &errand.target.policy;
    let limit = Limit {
        policy: errand.target.policy_name.clone(),
        concurrency: policy.concurrency,
        queue: policy.queue,
    };
    let end = match gate.enter(errand.deadline, limit).await {
        Ok(slot) => send(node, &gate, slot, errand).await,
        Err(reason) => {
            if reason == Reason::Shed {
                node.stats.count_shed();
            }
            End::NotRun(reason)
        }
    };
    Outcome {
        end,
        load: Some(gate.load()),
    }
}

async fn send(node: &Rc<Node>, gate: &Gate, slot: Slot, errand: &Errand<'_>) -> End {
    let destination = Destination {
        client: gate.client.clone(),
        authority: gate.authority.clone(),
        until: node.clock.instant(errand.deadline),
    };
    let request = errand.request;
    let headers = headers(node, errand);
    match exchange(&destination, request, headers, errand.upload.body()).await {
        Ok(response) => {
            let idle_max = errand.target.policy.timeout.into();
            let answer = Answer::new(response, &request.method, idle_max);
            answer.flow.hold_slot(slot);
            End::Answered(Box::new(answer))
        }
        Err(Failure::NotSent(reason)) => End::NotRun(reason),
        Err(Failure::Sent(reason)) => End::Unknown(reason),
    }
}

/// Returns the headers for the backend server; the secret is among these alone.
fn headers(node: &Node, errand: &Errand<'_>) -> HeaderMap {
    let mut headers = errand.request.headers.clone();
    let left = errand.deadline.since(node.clock.now()).get();
    headers.insert(header::DEADLINE.clone(), HeaderValue::from(left));
    let hops = errand.request.hops.saturating_add(1);
    headers.insert(header::HOPS.clone(), HeaderValue::from(u16::from(hops)));
    if let Some(secret) = &errand.target.secret
        && let Ok(name) = HeaderName::from_bytes(secret.header.as_bytes())
        && let Ok(mut value) = HeaderValue::from_str(secret.value.reveal())
    {
        value.set_sensitive(true);
        headers.insert(name, value);
    }
    headers
}
