//! The links that are open or being opened.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use cicadagw_ring::{Sender, TrySendError};
use cicadagw_unit::id;
use cicadagw_wire::link::{Event, Session};
use cicadagw_wire::{Refusal, Up};
use serde_json::value::RawValue;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio_util::sync::CancellationToken;

use crate::traffic::Reach;
use crate::{Limits, Traffic};

/// What the control duty answers to a child that asks to join.
pub(crate) type Answer = Result<(), Refusal>;

/// A message as it is carried, shared by those that it goes to.
pub(crate) type Encoded = Arc<RawValue>;

/// Who is at the other end.
pub(crate) enum Peer {
    /// Connected, and did not ask yet.
    Stranger,
    /// Asked to join; the answer is taken out when it is given. It sends one message at a time.
    Child {
        answer: Option<oneshot::Sender<Answer>>,
        reach: Reach,
        ring: Sender<Encoded>,
        turn: Arc<Semaphore>,
    },
    /// Asked to join and was refused.
    Refused,
    /// Is being dialled, or took this node.
    Parent(Sender<Up>),
}

/// One link.
pub(crate) struct Link {
    pub(crate) peer: Peer,
    pub(crate) end: End,
}

/// Ends a link, with the first reason that was given.
#[derive(Clone)]
pub(crate) struct End {
    pub(crate) token: CancellationToken,
    reason: Arc<OnceLock<String>>,
}

impl End {
    /// Creates an end that comes with `cancel` at the latest.
    pub(crate) fn new(cancel: &CancellationToken) -> Self {
        Self {
            token: cancel.child_token(),
            reason: Arc::default(),
        }
    }

    /// Ends the link because of `reason`.
    pub(crate) fn because(&self, reason: impl Into<String>) {
        // The first reason is the cause; later ones follow from it.
        let _later = self.reason.set(reason.into());
        self.token.cancel();
    }

    fn reason(&self) -> String {
        let gone = || "the connection is gone".to_owned();
        self.reason.get().cloned().unwrap_or_else(gone)
    }
}

/// The turn of a child to send one message; it lasts until this is dropped.
pub(crate) struct Turn {
    pub(crate) end: End,
    pub(crate) reach: Reach,
    _permit: OwnedSemaphorePermit,
}

/// What the tasks of the duty share.
#[derive(Clone)]
pub(crate) struct Links {
    pub(crate) cancel: CancellationToken,
    pub(crate) limits: Limits,
    pub(crate) region: id::Region,
    pub(crate) traffic: Traffic,
    events: Sender<Event>,
    open: Arc<Mutex<BTreeMap<Session, Link>>>,
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

    /// Returns the open links; the lock is never held while something is awaited.
    pub(crate) fn open(&self) -> MutexGuard<'_, BTreeMap<Session, Link>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link, and returns what ends it.
    pub(crate) fn add(&self, session: Session, peer: Peer) -> End {
        let end = End::new(&self.cancel);
        let link = Link {
            peer,
            end: end.clone(),
        };
        self.open().insert(session, link);
        end
    }

    /// Tells the control duty, waiting for room.
    pub(crate) async fn tell(&self, event: Event) {
        // When the control duty is gone the process ends, so nobody needs the event.
        let _gone = self.events.send(event).await;
    }

    /// Forgets a link that ended; tells of it when the control duty knows it and did not close it.
    pub(crate) async fn finish(&self, session: Session, end: &End) {
        end.token.cancel();
        let link = self.open().remove(&session);
        match link.map(|link| link.peer) {
            Some(Peer::Child { .. } | Peer::Parent(_)) => {
                let reason = end.reason();
                log::info!(session = session.0, reason = reason.as_str(); "a link closed");
                self.tell(Event::Closed { session, reason }).await;
            }
            Some(Peer::Refused | Peer::Stranger) | None => {}
        }
    }

    /// Closes a link at the wish of the control duty.
    pub(crate) fn close(&self, session: Session) {
        if let Some(link) = self.open().remove(&session) {
            link.end.because("closed by this node");
        }
    }

    /// Takes the place of the stranger of `session` for one that asks to join; `None` when it has
    /// asked before.
    pub(crate) fn ask(
        &self,
        session: Session,
        answer: oneshot::Sender<Answer>,
        reach: Reach,
        ring: Sender<Encoded>,
    ) -> Option<End> {
        let mut open = self.open();
        let link = open.get_mut(&session)?;
        if !matches!(link.peer, Peer::Stranger) {
            return None;
        }
        link.peer = Peer::Child {
            answer: Some(answer),
            reach,
            ring,
            turn: Arc::new(Semaphore::new(1)),
        };
        Some(link.end.clone())
    }

    /// Answers one that asks to join.
    pub(crate) fn answer(&self, session: Session, given: Answer) {
        let mut open = self.open();
        let Some(link) = open.get_mut(&session) else {
            return;
        };
        let Peer::Child { answer, .. } = &mut link.peer else {
            return;
        };
        let Some(sender) = answer.take() else {
            return;
        };
        if given.is_err() {
            link.peer = Peer::Refused;
        }
        // One that is gone needs no answer.
        let _gone = sender.send(given);
    }

    /// Tells whether a child was accepted.
    pub(crate) fn has_joined(&self, session: Session) -> bool {
        let open = self.open();
        let peer = open.get(&session).map(|link| &link.peer);
        matches!(peer, Some(Peer::Child { answer: None, .. }))
    }

    /// Gives a child that was accepted its turn to send.
    ///
    /// One that has its turn already does not await its answers, which would take memory without
    /// bound here, so its link ends.
    pub(crate) fn take_turn(&self, session: Session) -> Option<Turn> {
        let open = self.open();
        let link = open.get(&session)?;
        let Peer::Child {
            answer: None,
            reach,
            turn,
            ..
        } = &link.peer
        else {
            return None;
        };
        let reach = *reach;
        let Ok(permit) = Arc::clone(turn).try_acquire_owned() else {
            link.end.because("the peer does not await its answers");
            return None;
        };
        Some(Turn {
            end: link.end.clone(),
            reach,
            _permit: permit,
        })
    }
}

/// Puts `message` into the ring of a link, and ends the link when the ring is full.
pub(crate) fn offer<T>(ring: &Sender<T>, end: &End, message: T) {
    match ring.try_send(message) {
        Ok(()) => {}
        Err(TrySendError::Full(_)) => end.because("the peer takes its messages too slowly"),
        Err(TrySendError::Closed(_)) => end.token.cancel(),
    }
}
