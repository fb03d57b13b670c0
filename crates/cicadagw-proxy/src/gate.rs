//! The way in to one backend server of this host.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::admission::{Constraints, Decision, Release, Ticket};
use cicadagw_call::lifecycle::Announcement;
use cicadagw_call::{Admission, Load, Reason};
use cicadagw_http::Pool;
use cicadagw_http::pool::Options;
use cicadagw_unit::id;
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::clock::Clock;

/// How connections to a backend server of this host are made and kept. It is a hop within the host,
/// so what takes longer is a backend server that stands still.
const CONNECTIONS: Options = Options {
    connect_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(30),
    tcp_user_timeout: Duration::from_secs(2),
};

/// The way in to one backend server: its admission, the calls that wait, and its connections.
pub(crate) struct Gate {
    admission: RefCell<Admission>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Grant>>>,
    clock: Clock,
    pub(crate) endpoint: id::Endpoint,
    pub(crate) pool: Rc<Pool>,
    address: SocketAddr,
}

/// What a waiting call is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Grant {
    Run,
    Refused(Reason),
}

impl Gate {
    pub(crate) fn new(clock: Clock, said: &Announcement) -> Rc<Self> {
        Rc::new(Self {
            admission: RefCell::new(Admission::new(slots(said))),
            waiting: RefCell::default(),
            clock,
            endpoint: said.endpoint.clone(),
            pool: Pool::new(said.address, CONNECTIONS),
            address: said.address,
        })
    }

    /// Takes in a renewed announcement; tells whether this gate still fits it.
    pub(crate) fn renew(&self, said: &Announcement) -> bool {
        let now = self.clock.now();
        let release = self.admission.borrow_mut().resize(now, slots(said));
        self.pass_on(release);
        self.address == said.address
    }

    /// Returns how busy the backend server is.
    pub(crate) fn load(&self) -> Load {
        self.admission.borrow().load()
    }

    /// Takes note of how large an answer to a call under `policy` is.
    pub(crate) fn weigh(&self, policy: &id::Policy, size: Bytes) {
        self.admission.borrow_mut().record_size(policy, size);
    }

    /// Waits for a place until `deadline`.
    pub(crate) async fn enter(
        self: &Rc<Self>,
        deadline: Timestamp,
        limit: Constraints,
    ) -> Result<Slot, Reason> {
        let now = self.clock.now();
        let policy = limit.policy.clone();
        let (ticket, verdict) = self.admission.borrow_mut().offer(now, deadline, limit);
        match verdict {
            Decision::Start => Ok(Slot::new(self, policy)),
            Decision::Shed => Err(Reason::Shed),
            Decision::Expired => Err(Reason::Deadline),
            Decision::Queue { displaced } => {
                if let Some(displaced) = displaced {
                    self.tell(displaced, Grant::Refused(Reason::Shed));
                }
                self.wait(deadline, ticket, policy).await
            }
        }
    }

    /// Refuses all calls that wait.
    pub(crate) fn close(&self) {
        let refused = self.admission.borrow_mut().close();
        for ticket in refused {
            self.tell(ticket, Grant::Refused(Reason::Draining));
        }
    }

    async fn wait(
        self: &Rc<Self>,
        deadline: Timestamp,
        ticket: Ticket,
        policy: id::Policy,
    ) -> Result<Slot, Reason> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        let mut place = Place {
            gate: self,
            policy: &policy,
            ticket,
            receiver,
        };
        let until = self.clock.instant(deadline);
        match timeout_at(until, &mut place.receiver).await {
            Ok(Ok(Grant::Run)) => Ok(Slot::new(self, policy.clone())),
            Ok(Ok(Grant::Refused(reason))) => Err(reason),
            Ok(Err(_)) => Err(Reason::Draining),
            Err(_) => Err(Reason::Deadline),
        }
    }

    fn tell(&self, ticket: Ticket, grant: Grant) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&ticket)
            && sender.send(grant).is_err()
        {
            log::error!(ticket:?; "a waiting call went away without giving up its place");
        }
    }

    fn pass_on(&self, release: Release) {
        for ticket in release.expired {
            self.tell(ticket, Grant::Refused(Reason::Deadline));
        }
        for ticket in release.shed {
            self.tell(ticket, Grant::Refused(Reason::Shed));
        }
        for ticket in release.started {
            self.tell(ticket, Grant::Run);
        }
    }

    fn abandon(&self, policy: &id::Policy, spent: Span) {
        let now = self.clock.now();
        let release = self.admission.borrow_mut().abandon(now, policy, spent);
        self.pass_on(release);
    }
}

/// A place in the queue; given up when the call goes away.
struct Place<'g> {
    gate: &'g Rc<Gate>,
    policy: &'g id::Policy,
    ticket: Ticket,
    receiver: oneshot::Receiver<Grant>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.gate.waiting.borrow_mut().remove(&self.ticket);
        let did_wait = self.gate.admission.borrow_mut().cancel(self.ticket);
        // A grant that nobody took is a slot that nobody else would give back.
        if !did_wait && self.receiver.try_recv() == Ok(Grant::Run) {
            self.gate.abandon(self.policy, Span::new(0));
        }
    }
}

/// A place at a backend server; given back when the call is over.
pub(crate) struct Slot {
    gate: Rc<Gate>,
    policy: id::Policy,
    started: Timestamp,
    is_finished: bool,
}

impl std::fmt::Debug for Slot {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Slot").finish_non_exhaustive()
    }
}

impl Slot {
    fn new(gate: &Rc<Gate>, policy: id::Policy) -> Self {
        Self {
            gate: gate.clone(),
            policy,
            started: gate.clock.now(),
            is_finished: false,
        }
    }

    /// Gives the place back after a whole answer.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let spent = now.since(self.started);
        if !self.is_finished {
            self.gate.abandon(&self.policy, spent);
            return;
        }
        let mut admission = self.gate.admission.borrow_mut();
        let release = admission.finish(now, &self.policy, spent);
        drop(admission);
        self.gate.pass_on(release);
    }
}

/// Returns how many calls a backend server can run, each over a connection of its own.
fn slots(said: &Announcement) -> Slots {
    said.slots.min(said.connections)
}
