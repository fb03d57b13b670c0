//! Handles incoming calls: admits them, routes them, and builds the response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use cicadagw_call::Reason;
use cicadagw_call::refusal::retry_after;
use cicadagw_call::route::Target;
use cicadagw_http::Body;
use cicadagw_http::server::Reply;
use cicadagw_unit::id;
use cicadagw_unit::rate::Priority;
use cicadagw_unit::time::{Span, Timestamp};
use tokio::time::timeout_at;

use crate::delivery::{self, Call, Outcome};
use crate::listener_kind::ListenerKind;
use crate::node::Node;
use crate::quotas::Token;
use crate::relay::Relay;
use crate::reply::{End, add_node_fields};
use crate::request::Request;
use crate::routing::Routing;
use crate::upload::Upload;

/// Handles a call received on a listener of `kind`.
pub(crate) async fn handle(
    node: &Rc<Node>,
    kind: ListenerKind,
    head: cicadagw_http::Request,
    body: Body,
) -> Reply {
    let begin = Instant::now();
    let guard = node.start_call();
    let is_from_node = kind.is_from_node(&head.fields);
    let Outcome {
        mut end,
        load,
        work,
        retry_in,
    } = match admit(node, kind, head) {
        Ok(request) => {
            let outcome = tokio::select! {
                biased;
                outcome = process(node, &request, body) => outcome,
                () = node.abort.cancelled() => Outcome::of(End::Unknown(Reason::Draining)),
            };
            if !is_from_node && matches!(outcome.end, End::NotRun(_)) {
                node.record_refusal(&request);
            }
            if let End::Answered(_) = &outcome.end {
                let added = begin.elapsed().saturating_sub(request.wait_time());
                node.stats.record_added_latency(added);
            } else if !is_from_node {
                log_failure(&request, &outcome.end, begin);
            }
            outcome
        }
        Err(reason) => Outcome::not_run(reason),
    };
    if !is_from_node {
        node.stats.count_end(&end);
    }
    if let End::Answered(response) = &mut end {
        response.hold_call_guard(guard);
        response.pace(node.pacer.clone());
    }
    let retry_hint = retry_hint(node, &end, retry_in);
    let mut reply = end.into_reply(&retry_hint);
    if is_from_node {
        add_node_fields(&mut reply, load, work, retry_in);
    }
    reply
}

/// Returns the value of `retry-after` in a refusal, which is `retry_in` if it is known; empty for
/// other ends.
fn retry_hint(node: &Node, end: &End, retry_in: Option<Span>) -> String {
    let End::NotRun(reason) = end else {
        return String::new();
    };
    let uptime = node.clock.now().since(Timestamp::new(0));
    let wait = retry_in.unwrap_or_else(|| retry_after(*reason, uptime, node.peers.random()));
    node.dialect.retry_after(wait)
}

fn log_failure(request: &Request, end: &End, begin: Instant) {
    let (End::NotRun(reason) | End::Unknown(reason)) = end else {
        return;
    };
    let outcome = end.outcome();
    let took = begin.elapsed().as_millis();
    // The time since the first arrival of this call; zero unless it was refused before and retried
    // by its caller.
    let came_back_ms = request.arrival.since(request.first_arrival).get();
    log::info!(id = request.id(), path = request.path(), outcome:%, reason:%, came_back_ms, took_ms = u64::try_from(took).unwrap_or(u64::MAX); "a call ended without a response from a backend server");
}

/// Parses the head of a call and refuses calls that exceed a limit or arrive after the
/// shutdown delay.
fn admit(node: &Node, kind: ListenerKind, head: cicadagw_http::Request) -> Result<Request, Reason> {
    let mut request = Request::read(head, node.dialect.header_names(), kind, node.clock.now())?;
    if request.selection.is_none() {
        node.restore_first_arrival(&mut request);
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

/// Routes a call and reads its request body.
async fn process(node: &Rc<Node>, request: &Request, body: Body) -> Outcome {
    // A call uses the same configuration from start to end.
    let routing = node.routing();
    match route(node, &routing, request) {
        Ok(Routed {
            account,
            deadline,
            priority,
            target,
        }) => {
            let latency = target.policy.target_latency;
            let token = match take_token(node, &routing, request, account.as_ref(), latency).await {
                Ok(token) => token,
                Err(refused) => return refused,
            };
            let limits = node.limits();
            let reading = Upload::read(body, &limits, &node.ledger);
            let until = node.clock.instant(deadline);
            let outcome = match request.track_wait(timeout_at(until, reading)).await {
                Ok(Ok(upload)) => {
                    let call = Call {
                        request,
                        target: &target,
                        upload: &upload,
                        deadline,
                        account: account.as_ref(),
                        priority,
                    };
                    deliver_or_relay(node, call).await
                }
                Ok(Err(reason)) => Outcome::not_run(reason),
                Err(_) => Outcome::not_run(Reason::Deadline),
            };
            if let (End::NotRun(_), Some(token)) = (&outcome.end, &token) {
                node.quotas.give_back(token);
            }
            outcome
        }
        Err(reason) => Outcome::not_run(reason),
    }
}

/// Takes a token from the quota of the account that makes a call, if it has one. The node of the
/// caller takes it; the node that the call is passed on to does not.
async fn take_token(
    node: &Node,
    routing: &Routing,
    request: &Request,
    account: Option<&id::Account>,
    target_latency: Option<Span>,
) -> Result<Option<Token>, Outcome> {
    let Some((account, parts)) =
        account.and_then(|account| Some((account, routing.quota(account)?)))
    else {
        return Ok(None);
    };
    if request.selection.is_some() {
        return Ok(None);
    }
    let due = target_latency.map(|latency| request.first_arrival.after(latency));
    let is_late = due.is_some_and(|due| due < request.arrival);
    let taking = node.quotas.take(account, parts, is_late);
    let taken = request.track_wait(taking).await;
    taken.map(Some).map_err(|refused| {
        node.stats.count_quota_refusal(refused.reason);
        Outcome {
            retry_in: refused.retry_in,
            ..Outcome::not_run(refused.reason)
        }
    })
}

/// A call that may be made.
struct Routed {
    /// The client account that makes the call, if it needs one or presents a key.
    account: Option<id::Account>,
    deadline: Timestamp,
    priority: Priority,
    target: Arc<Target>,
}

/// Determines the route target of a call, its client account, its priority and its deadline.
///
/// The node of the caller identifies the account; a node that receives the call from another one
/// takes the account that this one states.
fn route(node: &Node, routing: &Routing, request: &Request) -> Result<Routed, Reason> {
    let index = routing.index.as_ref().ok_or(Reason::NoConfiguration)?;
    let access = index.access();
    let (target, account) = if let Some(selection) = &request.selection {
        let (_, service) = node.backend(&selection.endpoint)?;
        let target = index.resolve(&selection.cluster, &selection.policy, &service);
        (target.ok_or(Reason::NoRoute)?, request.account.clone())
    } else {
        let found = index.find(
            request.request_line(),
            |name, value| request.has_header(name, value),
            node.peers.random(),
        );
        let found = found.ok_or(Reason::NoRoute)?;
        let is_stale = node.is_stale(routing);
        let account = access.account(found.is_public, request.key.as_ref(), is_stale)?;
        (found.target.clone(), account.cloned())
    };
    let deadline = request.deadline(target.policy.timeout);
    // A response that cannot arrive before this node ends would be cut.
    let deadline = node
        .serves_until()
        .map_or(deadline, |end| deadline.min(end));
    Ok(Routed {
        priority: access.priority(account.as_ref(), target.policy.priority),
        account,
        deadline,
        target,
    })
}

/// Processes a call: delivers it to a local backend server if another node selected the endpoint,
/// and otherwise selects endpoints itself.
async fn deliver_or_relay(node: &Rc<Node>, call: Call<'_>) -> Outcome {
    match &call.request.selection {
        // A buffered response releases its slot at the backend server, however busy the link is.
        Some(selection) => {
            delivery::deliver(node, call, &selection.endpoint)
                .await
                .buffer_short(&node.ledger)
                .await
        }
        None => match node.service_calls.start(&call.target.cluster.service) {
            Some(_guard) => Relay::new(node, call).run().await,
            None => Outcome::not_run(Reason::Shed),
        },
    }
}
