//! Delivery of a call from a backend server's own node to the backend server.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cicadagw_call::admission::Constraints;
use cicadagw_call::route::Target;
use cicadagw_call::{Load, Reason};
use cicadagw_dialect::HeaderNames;
use cicadagw_http::client::Incoming;
use cicadagw_http::pool::ALIVE_IDLE_MAX;
use cicadagw_http::{Fields, Ledger, Response as ResponseHead};
use cicadagw_unit::rate::{CallRate, Priority};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{id, size};
use tokio::time::timeout;

use crate::backend::{Backend, Refusal, Slot};
use crate::exchange::{Destination, Failure, exchange};
use crate::header;
use crate::node::Node;
use crate::reply::End;
use crate::request::Request;
use crate::response::Response;
use crate::upload::Upload;

/// The maximum idle time of a connection to a backend server for a call that must not be executed
/// twice. If the server closes an idle connection just as the call is sent, it is not known whether
/// the call was executed.
const IDLE_MAX_NON_IDEMPOTENT: Duration = Duration::from_millis(1_500);

/// The maximum idle time of a connection for other calls; the server may announce less.
const IDLE_MAX: Duration = Duration::from_secs(30);

/// How long the body of a refusal is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// The maximum size of a response that is buffered completely before it is forwarded, in bytes.
/// Only calls in flight use this memory.
const BUFFERED_BYTES_MAX: u64 = 256 << 10;

/// The maximum time for which a response is buffered.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// A call being processed.
#[derive(Clone, Copy)]
pub(crate) struct Call<'a> {
    pub(crate) target: &'a Target,
    pub(crate) request: &'a Request,
    pub(crate) upload: &'a Upload,
    pub(crate) deadline: Timestamp,
    /// The client account that makes the call, if it presents a key.
    pub(crate) account: Option<&'a id::Account>,
    /// The priority of the client account, or else of the policy.
    pub(crate) priority: Priority,
}

/// The result of an attempt, with the load and the work time of the backend server.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) end: End,
    /// The load of the backend server.
    pub(crate) load: Option<Load>,
    /// The time from sending the request to the head of the response.
    pub(crate) work: Option<Span>,
    /// The time after which a refused call may be made again, if it is known.
    pub(crate) retry_in: Option<Span>,
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
            retry_in: None,
        }
    }

    /// Buffers short responses completely. A response that is truncated before anything was
    /// forwarded to the caller counts as lost.
    pub(crate) async fn buffer_short(self, ledger: &Rc<Ledger>) -> Self {
        let end = match self.end {
            End::Answered(mut response) => match response
                .buffer_short(BUFFERED_BYTES_MAX, BUFFER_TIMEOUT, ledger)
                .await
            {
                Ok(()) => End::Answered(response),
                Err(_) => End::Unknown(Reason::Lost),
            },
            end => end,
        };
        Self { end, ..self }
    }
}

/// Sends a call to a local backend server once it has a free slot.
pub(crate) async fn deliver(node: &Rc<Node>, call: Call<'_>, endpoint: &id::Endpoint) -> Outcome {
    let backend = match node.backend(endpoint) {
        Ok((backend, _)) => backend,
        Err(reason) => return Outcome::not_run(reason),
    };
    if node.is_closed_by_rollout(endpoint) {
        return Outcome::not_run(Reason::Draining);
    }
    let policy = &call.target.policy;
    let constraints = Constraints {
        account: call.account.cloned(),
        policy: call.target.policy_name.clone(),
        concurrency: policy.concurrency,
        queue: policy.queue,
        priority: call.priority,
        policy_priority: policy.priority,
        soft_deadline: call.soft_deadline(),
        target_latency: policy.target_latency,
        // A response to a local caller crosses the host's link wherever the call runs, so the
        // link's backlog counts only for calls of other nodes.
        link_backlog: match call.request.selection {
            Some(_) => node.pacer.backlog(),
            None => Span::new(0),
        },
    };
    let acquiring = backend.acquire_slot(call.deadline, constraints);
    match call.request.track_wait(acquiring).await {
        Ok(slot) => send(node, &backend, slot, call).await,
        Err(Refusal { reason, wait }) => {
            match reason {
                Reason::Limited => node.stats.count_limited(),
                Reason::Shed => {
                    node.stats.count_shed(call.priority);
                    log_shed(node, &backend, call);
                }
                _ => {}
            }
            Outcome {
                load: Some(backend.load()),
                retry_in: wait,
                ..Outcome::not_run(reason)
            }
        }
    }
}

/// Logs that admission control has no room for a call, with what decided that.
fn log_shed(node: &Node, backend: &Backend, call: Call<'_>) {
    let now = node.clock.now();
    let left_ms = call.deadline.since(now).get();
    let target_left_ms = call.soft_deadline().map(|target| target.since(now).get());
    let account = call.account.map(ToString::to_string);
    let policy = &call.target.policy_name;
    log::info!(
        id = call.request.id(),
        endpoint:% = backend.endpoint,
        account:?,
        policy:%,
        priority:% = call.priority,
        policy_priority:% = call.target.policy.priority,
        load:? = backend.load(),
        work_ms = backend.average_work(policy).get(),
        target_left_ms:?,
        left_ms;
        "a backend server of this host has no room for a call"
    );
}

/// Sends a call that has a slot to the backend server, and classifies the response.
async fn send(node: &Rc<Node>, backend: &Rc<Backend>, slot: Slot, call: Call<'_>) -> Outcome {
    let names = node.dialect.header_names();
    let has_responded = Cell::new(false);
    let destination = Destination {
        pool: &backend.pool,
        idle_max: idle_max(call),
        deadline: node.clock.instant(call.deadline),
        has_responded: &has_responded,
        echo_field: names.attempt,
    };
    let begin = node.clock.now();
    let fields = fields(node, backend, call);
    let policy = &call.target.policy_name;
    let observation = node.observe_call(&backend.endpoint, policy);
    let exchange_guard = backend.start_exchange();
    let outcome = exchange(&destination, call.request, &fields, call.upload).await;
    let work = node.clock.now().since(begin);
    if let Ok(response) = &outcome {
        observe_state(node, backend, &response.head, call.request);
    }
    let end = match outcome {
        Ok(response) => match classify(names, &response.head, call.request) {
            Classification::Valid => {
                let mut response = Response::new(
                    response,
                    call.target.policy.timeout.into(),
                    destination.deadline,
                );
                if let Some(length) = response.length() {
                    backend.record_size(&call.target.policy_name, size::Bytes::new(length));
                }
                if response.length().is_some() {
                    // The length is known, so the backend server has finished its work and only the
                    // transfer is left.
                    slot.finish();
                } else {
                    response.hold_slot(slot);
                }
                response.hold_exchange(exchange_guard);
                End::Answered(Box::new(response))
            }
            Classification::NotRun(reason) => {
                discard(response.body).await;
                End::NotRun(reason)
            }
            Classification::Unusable(why) => {
                let status = response.head.status;
                log::info!(id = call.request.id(), endpoint:% = backend.endpoint, status, why; "discarded an invalid response of a backend server");
                End::Unknown(Reason::Lost)
            }
        },
        Err(Failure::NotSent(reason)) => {
            if reason == Reason::Unreachable {
                node.remove_unreachable(&backend.endpoint);
            }
            End::NotRun(reason)
        }
        Err(Failure::Sent(reason, loss)) => {
            if let Some(loss) = loss {
                log::info!(id = call.request.id(), endpoint:% = backend.endpoint, loss:%; "lost the response of a backend server");
            }
            End::Unknown(reason)
        }
    };
    if let Some(observation) = observation {
        match &end {
            End::Answered(response) if response.status < 500 => observation.answer(work),
            End::Answered(_) | End::Unknown(_) => observation.fail(),
            End::NotRun(_) => {}
        }
    }
    Outcome {
        work: matches!(end, End::Answered(_)).then_some(work),
        end,
        load: Some(backend.load()),
        retry_in: None,
    }
}

/// Returns how long a connection to the backend server may have been idle to be reused for a call.
///
/// A backend server need not respond before it has finished its work, so a long call is sent only on
/// a connection on which it is known to be alive.
fn idle_max(call: Call<'_>) -> Duration {
    if call.upload.framing().is_long() {
        ALIVE_IDLE_MAX
    } else if call.is_idempotent() {
        IDLE_MAX
    } else {
        IDLE_MAX_NON_IDEMPOTENT
    }
}

/// Processes what a response says of the state of the backend server: its pace of work, its rate
/// limit, and whether it is leaving. A refusal need not repeat the limit, so only a response to an executed request ends
/// it.
fn observe_state(node: &Node, backend: &Backend, head: &ResponseHead, request: &Request) {
    let names = node.dialect.header_names();
    let text = |name: Option<&str>| name.and_then(|name| head.fields.text(name));
    let is_echoed = names
        .attempt
        .is_none_or(|name| head.fields.get(name) == request.attempt.as_ref());
    if !is_echoed {
        return;
    }
    if header::says_leaving(&head.fields, names) {
        node.leave(&backend.endpoint);
    }
    let load = text(names.load).and_then(|text| node.dialect.parse_load(text));
    if let Some(pace) = load.and_then(|load| load.pace) {
        backend.observe_pace(pace);
    }
    let is_executed = names.not_run.is_none_or(|name| !head.fields.has(name));
    match text(names.limit).map(str::parse::<CallRate>) {
        Some(Ok(limit)) => backend.observe_limit(Some(limit)),
        Some(Err(error)) => {
            log::warn!(endpoint:% = backend.endpoint, error:%; "ignored an unreadable rate limit of a local backend server");
        }
        None if is_executed => backend.observe_limit(None),
        None => {}
    }
}

impl Call<'_> {
    /// Returns when the latency target of the call, if it has one, ends.
    pub(crate) fn soft_deadline(&self) -> Option<Timestamp> {
        let request = self.request;
        if request.selection.is_some() {
            return request
                .target_remaining
                .map(|left| request.arrival.after(left));
        }
        let latency = self.target.policy.target_latency;
        latency.map(|latency| request.first_arrival.after(latency))
    }

    /// Returns whether the call may be executed more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        let method = std::str::from_utf8(&self.request.method).unwrap_or_default();
        cicadagw_call::attempt::is_idempotent(self.target.policy.idempotency, method)
    }
}

/// Returns the header fields for the backend server. Only these contain the secret.
fn fields(node: &Node, backend: &Backend, call: Call<'_>) -> Fields {
    let names = node.dialect.header_names();
    let mut fields = call.request.fields.clone();
    let left = call.deadline.since(node.clock.now()).get();
    fields.set(names.deadline, Bytes::from(left.to_string()));
    if let Some(name) = names.hops {
        let hops = call.request.hops.saturating_add(1);
        fields.set(name, Bytes::from(hops.to_string()));
    }
    if let Some(name) = names.endpoint {
        fields.set(name, Bytes::from(backend.endpoint.to_string()));
    }
    if let Some(name) = names.caller {
        let caller = call.request.caller.as_ref().or(node.service.as_ref());
        if let Some(caller) = caller {
            fields.set(name, Bytes::from(caller.to_string()));
        }
    }
    if let (Some(name), Some(account)) = (names.account, call.account) {
        fields.set(name, Bytes::from(account.to_string()));
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

/// Reads a short body to its end, so that the connection can be reused.
pub(crate) async fn discard(mut body: Incoming) {
    let reading = async { while let Ok(Some(_)) = body.next().await {} };
    // If the rest does not arrive in time, the connection is closed instead.
    timeout(DISCARD_TIMEOUT, reading).await.ok();
}

/// The classification of a backend server's response.
enum Classification {
    /// The response is valid.
    Valid,
    /// The backend server states that the request was not executed.
    NotRun(Reason),
    /// The request may have been executed, and this is not a valid response to it.
    Unusable(&'static str),
}

/// Classifies a response by the requirements of the dialect.
fn classify(names: &HeaderNames, head: &ResponseHead, request: &Request) -> Classification {
    let Some(not_run) = names.not_run else {
        return Classification::Valid;
    };
    let is_echoed = names
        .attempt
        .is_none_or(|name| head.fields.get(name) == request.attempt.as_ref());
    if !is_echoed {
        return Classification::Unusable("a response does not repeat the id of the request");
    }
    let is_marked_not_run = head.fields.has(not_run);
    match head.status {
        421 => return Classification::NotRun(Reason::Gone),
        400 if is_marked_not_run => return Classification::NotRun(Reason::BadRequest),
        _ if is_marked_not_run => return Classification::NotRun(Reason::Rejected),
        // To a caller, these status codes mean that the request was not executed.
        408 | 429 | 503 => {
            return Classification::Unusable(
                "a refusal does not state that the request was not executed",
            );
        }
        _ => {}
    }
    if !(200..300).contains(&head.status) {
        return Classification::Valid;
    }
    let is_sealed = names.seal.is_none_or(|seal| head.fields.has(seal));
    if !is_sealed {
        return Classification::Unusable("a success response has no seal");
    }
    if head.fields.has("content-encoding") {
        return Classification::Unusable(
            "a success response has a content-encoding that was not requested",
        );
    }
    Classification::Valid
}
