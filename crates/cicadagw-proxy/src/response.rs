//! Responses of backend servers being forwarded to the caller.

use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::pacing::{Extent, UNPACED_MAX};
use cicadagw_http::body::{Sender, Truncated};
use cicadagw_http::client::{self, Incoming};
use cicadagw_http::ledger::Held;
use cicadagw_http::server::Reply;
use cicadagw_http::{Body, Fields, Framing, Ledger, body};
use tokio::time::{Instant, timeout_at};

use crate::backend::{ExchangeGuard, Slot};
use crate::buffer::Buffer;
use crate::call_guard::CallGuard;
use crate::header;
use crate::pacer::{Pace, Pacer};
use crate::peers::EndpointCall;

/// How long after the deadline of its call a body may still arrive: the backend server has responded,
/// and its response is delivered even if the transfer makes it late.
pub(crate) const TRANSFER_GRACE: Duration = Duration::from_millis(200);

/// How long before the deadline of its call the buffering of a body ends, so that the head reaches the
/// node that waits for it in time.
const BUFFER_MARGIN: Duration = Duration::from_millis(50);

/// The memory that is counted for a body while it is streamed, in bytes.
const STREAMED_BYTES: usize = 64 << 10;

/// A response whose head has been received.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) fields: Fields,
    /// The body length in bytes, if the head states it.
    length: Option<u64>,
    /// The buffered part of the body.
    buffered: Buffer,
    /// The rest of the body; `None` once the body is complete.
    incoming: Option<Incoming>,
    /// The maximum time between two parts of the body.
    idle_max: Duration,
    /// The deadline of the call. A body that has not arrived [`TRANSFER_GRACE`] later is truncated: it
    /// may have no end, whatever its head says.
    deadline: Instant,
    /// The memory that the body holds.
    held: Option<Held>,
    /// Paces the body on its way to the caller.
    pacer: Option<Rc<Pacer>>,
    guards: Guards,
}

/// Guards that are released when the response has been forwarded.
#[derive(Debug, Default)]
struct Guards {
    /// The slot at the backend server.
    slot: Option<Slot>,
    /// The exchange with the backend server.
    exchange: Option<ExchangeGuard>,
    /// The call as counted by the caller's node for load balancing.
    endpoint_call: Option<EndpointCall>,
    /// The call as counted by this node, which waits for its calls in flight when it shuts down.
    call_guard: Option<CallGuard>,
}

impl Response {
    /// Creates a response to a call with `deadline`, whose body must not stall for longer than
    /// `idle_max`.
    pub(crate) fn new(response: client::Response, idle_max: Duration, deadline: Instant) -> Self {
        let head = response.head;
        let declared = head.fields.text("content-length");
        let length = match head.framing {
            Framing::Length(length) => Some(length),
            Framing::Empty => declared.and_then(|text| text.parse().ok()),
            Framing::Chunked | Framing::Close => None,
        };
        Self {
            status: head.status,
            fields: header::response(&head.fields),
            length,
            buffered: Buffer::default(),
            incoming: Some(response.body),
            idle_max,
            deadline,
            held: None,
            pacer: None,
            guards: Guards::default(),
        }
    }

    /// Paces the body to the throughput of the link.
    pub(crate) fn pace(&mut self, pacer: Rc<Pacer>) {
        self.pacer = Some(pacer);
    }

    pub(crate) fn hold_slot(&mut self, slot: Slot) {
        self.guards.slot = Some(slot);
    }

    pub(crate) fn hold_exchange(&mut self, exchange: ExchangeGuard) {
        self.guards.exchange = Some(exchange);
    }

    pub(crate) fn hold_endpoint_call(&mut self, endpoint_call: EndpointCall) {
        self.guards.endpoint_call = Some(endpoint_call);
    }

    pub(crate) fn hold_call_guard(&mut self, call_guard: CallGuard) {
        self.guards.call_guard = Some(call_guard);
    }

    /// Returns the body length in bytes, if the head states it.
    pub(crate) const fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the body length in bytes, or else the number of bytes buffered so far.
    pub(crate) fn size(&self) -> u64 {
        self.length.unwrap_or(self.buffered.len() as u64)
    }

    /// Returns what is known of the body length.
    fn extent(&self) -> Extent {
        let buffered = self.buffered.len() as u64;
        match self.length {
            Some(length) => Extent::Exactly(length),
            None if self.incoming.is_none() => Extent::Exactly(buffered),
            None => Extent::AtLeast(buffered),
        }
    }

    /// Buffers the body until it is complete, larger than `size_max` bytes or than `ledger` allows,
    /// `time_max` is over, or the deadline of the call is near, so that a truncation is noticed before
    /// anything is forwarded to the caller.
    ///
    /// # Errors
    ///
    /// Returns [`Truncated`] when the body ends before it is complete.
    pub(crate) async fn buffer_short(
        &mut self,
        size_max: u64,
        time_max: Duration,
        ledger: &Rc<Ledger>,
    ) -> Result<(), Truncated> {
        let mut held = ledger.hold(self.buffered.len());
        if self.length.is_some_and(|length| length > size_max) {
            self.held = Some(held);
            return Ok(());
        }
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let until = now + left.saturating_sub(BUFFER_MARGIN).min(time_max);
        while let Some(incoming) = &mut self.incoming
            && self.buffered.len() as u64 <= ledger.buffer_max(size_max)
        {
            match timeout_at(until, incoming.next()).await {
                Ok(Ok(Some(part))) => {
                    self.buffered.push(part);
                    held.set(self.buffered.len());
                }
                Ok(Ok(None)) => self.finish(),
                Ok(Err(truncated)) => return Err(truncated),
                Err(_) => break,
            }
        }
        self.held = Some(held);
        Ok(())
    }

    /// Converts the response to a reply to the caller; parts of the body that have not arrived are
    /// streamed.
    pub(crate) fn into_reply(mut self) -> Reply {
        let mut reply = Reply::new(self.status);
        reply.fields = std::mem::take(&mut self.fields);
        reply.write_timeout = Some(self.idle_max);
        let buffered_length = self.buffered.len();
        if self.incoming.is_none() && buffered_length as u64 <= UNPACED_MAX.get() {
            if let Some(pacer) = &self.pacer {
                pacer.reserve(buffered_length);
            }
            reply.content_length = self.length;
            reply.body = Body::Buffered(self.buffered.join());
            reply.held = self.held.take();
            return reply;
        }
        let (sender, parts) = body::channel();
        let length = match self.extent() {
            Extent::Exactly(length) => Some(length),
            Extent::AtLeast(_) => None,
        };
        reply.body = Body::Streamed { length, parts };
        tokio::task::spawn_local(self.forward(sender));
        reply
    }

    /// Streams the body until it is complete, it is truncated, or the caller's connection closes.
    async fn forward(mut self, sender: Sender) {
        if let Some(held) = &mut self.held {
            held.set(self.buffered.len() + STREAMED_BYTES);
        }
        let mut pace = Pace::new(self.pacer.clone(), self.extent());
        for part in std::mem::take(&mut self.buffered).into_parts() {
            pace.wait(part.len()).await;
            if sender.send(part).await.is_err() {
                return;
            }
        }
        let truncated_at = self.deadline + TRANSFER_GRACE;
        while let Some(incoming) = &mut self.incoming {
            let now = Instant::now();
            // A body that arrives without pause must not starve the timeout.
            if now >= truncated_at {
                return self.log_overdue();
            }
            let until = truncated_at.min(now + self.idle_max);
            let next = tokio::select! {
                () = sender.closed() => return,
                next = timeout_at(until, incoming.next()) => next,
            };
            match next {
                Ok(Ok(Some(part))) => {
                    pace.wait(part.len()).await;
                    if sender.send(part).await.is_err() {
                        return;
                    }
                }
                Ok(Ok(None)) => self.finish(),
                Ok(Err(_)) => {
                    log::info!(
                        "a response body was truncated while it was forwarded to the caller"
                    );
                    return;
                }
                Err(_) if until == truncated_at => return self.log_overdue(),
                Err(_) => {
                    log::info!(
                        "a response body stalled while it was forwarded to the caller; the connection is closed"
                    );
                    return;
                }
            }
        }
        // The caller may have disconnected after it received the whole body.
        sender.end().await.ok();
    }

    /// Logs that the body is cut since it has not arrived by the deadline of its call.
    fn log_overdue(&self) {
        log::info!(status = self.status, length:? = self.length; "a response body did not end before the deadline of its call; the connection is closed");
    }

    /// Releases the slot at the backend server once the body is complete.
    fn finish(&mut self) {
        self.incoming = None;
        self.guards.exchange = None;
        if let Some(slot) = self.guards.slot.take() {
            slot.finish();
        }
    }
}
