//! Answers on their way to the caller.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cicadagw_call::pacing::UNPACED_MAX;
use cicadagw_http::body::{Sender, Truncated};
use cicadagw_http::client::{self, Incoming};
use cicadagw_http::server::Reply;
use cicadagw_http::{Body, Fields, Framing, body};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout, timeout_at};

use crate::gate::Slot;
use crate::header;
use crate::node::Entry;
use crate::pacer::{Pace, Pacer};
use crate::peers::Visit;

/// An answer whose head has come.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) fields: Fields,
    /// The length, where it is known before the end.
    length: Option<u64>,
    /// What has come of the body.
    begun: SmallVec<[Bytes; 4]>,
    /// The rest of the body; none once it is whole.
    rest: Option<Incoming>,
    /// How long the body may stand still.
    idle_max: Duration,
    /// What paces the body on its way out.
    pacer: Option<Rc<Pacer>>,
    held: Held,
}

/// What is held until an answer has gone through.
#[derive(Debug, Default)]
struct Held {
    /// The place at the backend server.
    slot: Option<Slot>,
    /// The call as the caller's node counts it.
    visit: Option<Visit>,
    /// The call as a stopping node waits for it.
    entry: Option<Entry>,
}

impl Answer {
    /// Creates an answer whose body must not stand still for `idle_max`.
    pub(crate) fn new(answer: client::Response, idle_max: Duration) -> Self {
        let head = answer.head;
        let named = head.fields.text("content-length");
        let length = match head.framing {
            Framing::Length(length) => Some(length),
            Framing::Empty => named.and_then(|text| text.parse().ok()),
            Framing::Chunked | Framing::Close => None,
        };
        Self {
            status: head.status,
            fields: header::response(&head.fields),
            length,
            begun: SmallVec::new(),
            rest: Some(answer.body),
            idle_max,
            pacer: None,
            held: Held::default(),
        }
    }

    /// Lets the body out at the pace of the link.
    pub(crate) fn pace(&mut self, pacer: Rc<Pacer>) {
        self.pacer = Some(pacer);
    }

    pub(crate) fn hold_slot(&mut self, slot: Slot) {
        self.held.slot = Some(slot);
    }

    pub(crate) fn hold_visit(&mut self, visit: Visit) {
        self.held.visit = Some(visit);
    }

    pub(crate) fn hold_entry(&mut self, entry: Entry) {
        self.held.entry = Some(entry);
    }

    /// Returns the length of the body in bytes, where it is known before the end.
    pub(crate) const fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns how large the body is, as far as is known, in bytes.
    pub(crate) fn size(&self) -> u64 {
        let begun: usize = self.begun.iter().map(Bytes::len).sum();
        self.length.unwrap_or(begun as u64)
    }

    /// Takes in the body until it is whole, larger than `size_max` bytes, or `time_max` is over, so
    /// that a cut is seen before anything goes to the caller.
    pub(crate) async fn settle(
        &mut self,
        size_max: u64,
        time_max: Duration,
    ) -> Result<(), Truncated> {
        if self.length.is_some_and(|length| length > size_max) {
            return Ok(());
        }
        let until = Instant::now() + time_max;
        let mut size = 0;
        while let Some(rest) = &mut self.rest
            && size <= size_max
        {
            match timeout_at(until, rest.next()).await {
                Ok(Ok(Some(part))) => {
                    size += part.len() as u64;
                    self.begun.push(part);
                }
                Ok(Ok(None)) => self.finish(),
                Ok(Err(cut)) => return Err(cut),
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }

    /// Returns the answer as it goes to the caller; what is not here yet is passed through.
    pub(crate) fn into_reply(mut self) -> Reply {
        let mut reply = Reply::new(self.status);
        reply.fields = std::mem::take(&mut self.fields);
        reply.write_timeout = Some(self.idle_max);
        let here: usize = self.begun.iter().map(Bytes::len).sum();
        if self.rest.is_none() && here as u64 <= UNPACED_MAX.get() {
            if let Some(pacer) = &self.pacer {
                pacer.reserve(here);
            }
            reply.content_length = self.length;
            reply.body = Body::Buffered(join(&self.begun));
            return reply;
        }
        let is_whole = self.rest.is_none();
        let (sender, parts) = body::channel();
        reply.body = Body::Streamed {
            length: self.length.or(is_whole.then_some(here as u64)),
            parts,
        };
        tokio::task::spawn_local(self.pass(sender));
        reply
    }

    /// Passes the body through until it is whole, it is cut, or nobody takes it.
    async fn pass(mut self, sender: Sender) {
        let length = self.length.and_then(|length| length.try_into().ok());
        let mut pace = Pace::new(self.pacer.clone(), length);
        for part in std::mem::take(&mut self.begun) {
            pace.wait(part.len()).await;
            if sender.send(part).await.is_err() {
                return;
            }
        }
        while let Some(rest) = &mut self.rest {
            let next = tokio::select! {
                () = sender.closed() => return,
                next = timeout(self.idle_max, rest.next()) => next,
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
                    log::info!("an answer was cut on its way to the caller");
                    return;
                }
                Err(_) => {
                    log::info!("an answer stood still on its way to the caller and was cut");
                    return;
                }
            }
        }
        // The caller may have left with the whole body in its hands.
        sender.end().await.ok();
    }

    /// Gives the place at the backend server back once the body is whole.
    fn finish(&mut self) {
        self.rest = None;
        if let Some(slot) = self.held.slot.take() {
            slot.finish();
        }
    }
}

fn join(parts: &[Bytes]) -> Bytes {
    match parts {
        [] => Bytes::new(),
        [only] => only.clone(),
        parts => {
            let mut whole = BytesMut::with_capacity(parts.iter().map(Bytes::len).sum());
            for part in parts {
                whole.extend_from_slice(part);
            }
            whole.freeze()
        }
    }
}
