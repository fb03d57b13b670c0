//! The table of links that are open or being opened.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use cicadagw_ring::{Sender, TrySendError};
use cicadagw_unit::id;
use cicadagw_wire::link::{Event, LinkId};
use cicadagw_wire::{Refusal, Up};
use serde_json::value::RawValue;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio_util::sync::CancellationToken;

use crate::traffic::Reach;
use crate::{Limits, Traffic};

/// The control duty's response to a child that asks to join.
pub(crate) type JoinResponse = Result<(), Refusal>;

/// An encoded message, shared by all links that it is sent on.
pub(crate) type Encoded = Arc<RawValue>;

/// The peer at the other end of a link, and what has been agreed with it.
pub(crate) enum Peer {
    /// An incoming connection that has not asked to join yet.
    Unjoined,
    /// A peer that asked to join; `response` is taken once the join is answered. The semaphore
    /// `unanswered` limits it to one unanswered message at a time.
    Child {
        response: Option<oneshot::Sender<JoinResponse>>,
        reach: Reach,
        ring: Sender<Encoded>,
        unanswered: Arc<Semaphore>,
    },
    /// A peer whose join was refused.
    Refused,
    /// A parent that is being dialled or has accepted this node as its child.
    Parent(Sender<Up>),
}

/// A link: its peer, and the handle that ends it.
pub(crate) struct Link {
    pub(crate) peer: Peer,
    pub(crate) closer: Closer,
}

/// The handle that ends a link and keeps the first reason given.
#[derive(Clone)]
pub(crate) struct Closer {
    pub(crate) token: CancellationToken,
    reason: Arc<OnceLock<String>>,
}

impl Closer {
    /// Creates a handle whose token is also cancelled with `cancel`.
    pub(crate) fn new(cancel: &CancellationToken) -> Self {
        Self {
            token: cancel.child_token(),
            reason: Arc::default(),
        }
    }

    /// Ends the link with `reason`.
    pub(crate) fn close(&self, reason: impl Into<String>) {
        // The first reason is the cause; later ones follow from it.
        let _later = self.reason.set(reason.into());
        self.token.cancel();
    }

    /// Returns the first reason given; without one, the connection broke.
    fn reason(&self) -> String {
        let lost = || "the connection was lost".to_owned();
        self.reason.get().cloned().unwrap_or_else(lost)
    }
}

/// The permit to process one message of a child, held until the message is answered.
pub(crate) struct MessagePermit {
    pub(crate) closer: Closer,
    pub(crate) reach: Reach,
    _permit: OwnedSemaphorePermit,
}

/// The state shared by the tasks of the duty.
#[derive(Clone)]
pub(crate) struct Links {
    pub(crate) cancel: CancellationToken,
    pub(crate) limits: Limits,
    pub(crate) region: id::Region,
    pub(crate) traffic: Traffic,
    events: Sender<Event>,
    open: Arc<Mutex<BTreeMap<LinkId, Link>>>,
}

impl Links {
    pub(crate) fn new(
        events: Sender<Event>,
        cancel: CancellationToken,
        limits: Limits,
        region: id::Region,
        traffic: Traffic,
    ) -> Self {
        Self {
            cancel,
            limits,
            region,
            traffic,
            events,
            open: Arc::default(),
        }
    }

    /// Locks the table of links; the lock is never held across an await.
    pub(crate) fn open(&self) -> MutexGuard<'_, BTreeMap<LinkId, Link>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link, and returns the handle that ends it.
    pub(crate) fn add(&self, session: LinkId, peer: Peer) -> Closer {
        let closer = Closer::new(&self.cancel);
        let link = Link {
            peer,
            closer: closer.clone(),
        };
        self.open().insert(session, link);
        closer
    }

    /// Sends an event to the control duty, waiting for room in the ring.
    pub(crate) async fn send_event(&self, event: Event) {
        // Sending fails only when the control duty has ended, and then the event is not needed.
        let _closed = self.events.send(event).await;
    }

    /// Removes a link that ended. Reports it as closed if the control duty knows it and did not
    /// close it.
    pub(crate) async fn remove_ended(&self, session: LinkId, closer: &Closer) {
        closer.token.cancel();
        let link = self.open().remove(&session);
        match link.map(|link| link.peer) {
            Some(Peer::Child { .. } | Peer::Parent(_)) => {
                let reason = closer.reason();
                log::info!(session = session.0, reason = reason.as_str(); "a link was closed");
                self.send_event(Event::Closed { session, reason }).await;
            }
            Some(Peer::Refused | Peer::Unjoined) | None => {}
        }
    }

    /// Closes a link on a command of the control duty, which then gets no event.
    pub(crate) fn close(&self, session: LinkId) {
        if let Some(link) = self.open().remove(&session) {
            link.closer.close("closed by this node");
        }
    }

    /// Turns the unjoined peer of `session` into a child that waits for the response to its join.
    /// Returns the handle that ends the link, or `None` if the peer has already asked to join.
    pub(crate) fn request_join(
        &self,
        session: LinkId,
        response: oneshot::Sender<JoinResponse>,
        reach: Reach,
        ring: Sender<Encoded>,
    ) -> Option<Closer> {
        let mut open = self.open();
        let link = open.get_mut(&session)?;
        if !matches!(link.peer, Peer::Unjoined) {
            return None;
        }
        link.peer = Peer::Child {
            response: Some(response),
            reach,
            ring,
            unanswered: Arc::new(Semaphore::new(1)),
        };
        Some(link.closer.clone())
    }

    /// Responds to the join of a peer; does nothing if the peer does not wait for a response.
    pub(crate) fn respond_to_join(&self, session: LinkId, outcome: JoinResponse) {
        let mut open = self.open();
        let Some(link) = open.get_mut(&session) else {
            return;
        };
        let Peer::Child { response, .. } = &mut link.peer else {
            return;
        };
        let Some(sender) = response.take() else {
            return;
        };
        if outcome.is_err() {
            link.peer = Peer::Refused;
        }
        // Sending fails only when the link has ended, and then no response is needed.
        let _ended = sender.send(outcome);
    }

    /// Returns whether the peer of `session` is an accepted child.
    pub(crate) fn has_joined(&self, session: LinkId) -> bool {
        let open = self.open();
        let peer = open.get(&session).map(|link| &link.peer);
        matches!(peer, Some(Peer::Child { response: None, .. }))
    }

    /// Returns the permit to process one message of an accepted child.
    ///
    /// A child that sends while its previous message is unanswered does not await the responses.
    /// Its messages would take memory without bound here, so its link is closed.
    pub(crate) fn acquire_message_permit(&self, session: LinkId) -> Option<MessagePermit> {
        let open = self.open();
        let link = open.get(&session)?;
        let Peer::Child {
            response: None,
            reach,
            unanswered,
            ..
        } = &link.peer
        else {
            return None;
        };
        let reach = *reach;
        let Ok(permit) = Arc::clone(unanswered).try_acquire_owned() else {
            link.closer
                .close("the peer sent a message before the previous one was answered");
            return None;
        };
        Some(MessagePermit {
            closer: link.closer.clone(),
            reach,
            _permit: permit,
        })
    }
}

/// Enqueues `message` in the send ring of a link, and closes the link if the ring is full or
/// closed.
pub(crate) fn enqueue<T>(ring: &Sender<T>, closer: &Closer, message: T) {
    match ring.try_send(message) {
        Ok(()) => {}
        Err(TrySendError::Full(_)) => {
            closer.close("the peer reads too slowly: its send ring is full");
        }
        Err(TrySendError::Closed(_)) => closer.token.cancel(),
    }
}
