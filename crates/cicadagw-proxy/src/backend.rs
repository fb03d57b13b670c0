//! Admission control and connections of a local backend server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_call::admission::{Constraints, Decision, Release, Ticket};
use cicadagw_call::lifecycle::Announcement;
use cicadagw_call::limit::Limit;
use cicadagw_call::{Admission, Load, Reason};
use cicadagw_http::Pool;
use cicadagw_http::pool::Options;
use cicadagw_unit::id;
use cicadagw_unit::rate::{CallRate, Permille};
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::clock::Clock;

/// Timeouts of connections to a local backend server. The connection does not leave the host, so a
/// backend server that takes longer to accept it has stalled, and a request that the kernel does not
/// acknowledge at once is on a connection that has fallen silent.
const CONNECTIONS: Options = Options {
    connect_timeout: Duration::from_millis(500),
    idle_timeout: Duration::from_secs(30),
    tcp_user_timeout: Duration::from_millis(300),
};

/// How long the pace of work that a backend server states counts; it changes many times per second.
const PACE_AGE_MAX: Span = Span::new(300);

/// A local backend server: its admission control, the queued calls, and its connection pool.
pub(crate) struct Backend {
    admission: RefCell<Admission>,
    /// The channels on which queued calls get their notification.
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Notification>>>,
    clock: Clock,
    pub(crate) endpoint: id::Endpoint,
    pub(crate) pool: Rc<Pool>,
    /// The exchanges whose response has not arrived as a whole.
    exchanges: Cell<u32>,
    address: SocketAddr,
    /// The pace that the last response stated, and when it arrived.
    pace: Cell<Option<(Timestamp, Permille)>>,
}

/// The notification that a queued call receives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Notification {
    /// The call has a slot.
    Started,
    /// The call is refused for this reason.
    Refused(Reason),
}

impl Backend {
    pub(crate) fn new(clock: Clock, announcement: &Announcement) -> Rc<Self> {
        let was_served_before = announcement.order.sequence > 1;
        let limit = if was_served_before {
            Limit::forgotten(clock.now())
        } else {
            Limit::default()
        };
        let admission = Admission::with_limit(slots(announcement), limit);
        Rc::new(Self {
            admission: RefCell::new(admission),
            waiting: RefCell::default(),
            clock,
            endpoint: announcement.endpoint.clone(),
            pool: Pool::new(announcement.address, CONNECTIONS),
            exchanges: Cell::new(0),
            address: announcement.address,
            pace: Cell::new(None),
        })
    }

    /// Applies a renewed announcement; returns whether the address is unchanged, so that this value
    /// can stay in use.
    pub(crate) fn renew(&self, announcement: &Announcement) -> bool {
        let now = self.clock.now();
        let release = self.admission.borrow_mut().resize(now, slots(announcement));
        self.apply(release);
        self.address == announcement.address
    }

    /// Returns the load of the backend server.
    pub(crate) fn load(&self) -> Load {
        let now = self.clock.now();
        let pace = self.pace.get();
        let pace = pace.filter(|(at, _)| now.since(*at) <= PACE_AGE_MAX);
        Load {
            pace: pace.map(|(_, pace)| pace),
            ..self.admission.borrow().load()
        }
    }

    /// Records the pace of work that a response states.
    pub(crate) fn observe_pace(&self, pace: Permille) {
        self.pace.set(Some((self.clock.now(), pace)));
    }

    /// Counts an exchange with the backend server until the guard is dropped.
    pub(crate) fn start_exchange(self: &Rc<Self>) -> ExchangeGuard {
        self.exchanges.set(self.exchanges.get() + 1);
        ExchangeGuard(self.clone())
    }

    /// Returns how many calls are queued for the backend server, run there, or are being answered.
    pub(crate) fn unfinished(&self) -> u32 {
        self.load().in_flight.get().max(self.exchanges.get())
    }

    /// Records the size of a response to a call under `policy`.
    pub(crate) fn record_size(&self, policy: &id::Policy, size: Bytes) {
        self.admission.borrow_mut().record_size(policy, size);
    }

    /// Returns the average work time of a call under `policy`.
    pub(crate) fn average_work(&self, policy: &id::Policy) -> Span {
        self.admission.borrow().average_work(policy)
    }

    /// Waits for a slot until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns why admission control refuses the call.
    pub(crate) async fn acquire_slot(
        self: &Rc<Self>,
        deadline: Timestamp,
        constraints: Constraints,
    ) -> Result<Slot, Refusal> {
        let now = self.clock.now();
        let policy = constraints.policy.clone();
        let (ticket, decision) = self
            .admission
            .borrow_mut()
            .offer(now, deadline, constraints);
        match decision {
            Decision::Start => Ok(Slot::new(self, policy)),
            Decision::Shed => Err(Reason::Shed.into()),
            Decision::Limited { wait } => Err(Refusal {
                reason: Reason::Limited,
                wait: Some(wait),
            }),
            Decision::Expired => Err(Reason::Deadline.into()),
            Decision::Queue { displaced } => {
                if let Some(displaced) = displaced {
                    self.notify(displaced, Notification::Refused(Reason::Shed));
                }
                let waiting = self.wait(deadline, ticket, policy);
                waiting.await.map_err(Refusal::from)
            }
        }
    }

    /// Returns the rate of calls that the backend server takes, while it names one.
    pub(crate) fn limit(&self) -> Option<CallRate> {
        self.admission.borrow().limit().rate()
    }

    /// Processes the rate limit that a response of the backend server names.
    pub(crate) fn observe_limit(&self, stated: Option<CallRate>) {
        let now = self.clock.now();
        if self.admission.borrow_mut().observe_limit(now, stated) {
            let limit = stated.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
            log::info!(endpoint:% = self.endpoint, limit = limit.as_str(); "the rate limit of a local backend server changed");
        }
    }

    /// Refuses all queued calls.
    pub(crate) fn close(&self) {
        let refused = self.admission.borrow_mut().close();
        for ticket in refused {
            self.notify(ticket, Notification::Refused(Reason::Draining));
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
        let mut waiter = Waiter {
            backend: self,
            policy: &policy,
            ticket,
            receiver,
        };
        let until = self.clock.instant(deadline);
        match timeout_at(until, &mut waiter.receiver).await {
            Ok(Ok(Notification::Started)) => Ok(Slot::new(self, policy.clone())),
            Ok(Ok(Notification::Refused(reason))) => Err(reason),
            Ok(Err(_)) => Err(Reason::Draining),
            Err(_) => Err(Reason::Deadline),
        }
    }

    fn notify(&self, ticket: Ticket, notification: Notification) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&ticket)
            && sender.send(notification).is_err()
        {
            log::error!(ticket:?; "a cancelled call did not remove its ticket from the admission queue");
        }
    }

    /// Notifies the queued calls that a change of admission control starts or refuses.
    fn apply(&self, release: Release) {
        for ticket in release.expired {
            self.notify(ticket, Notification::Refused(Reason::Deadline));
        }
        for ticket in release.shed {
            self.notify(ticket, Notification::Refused(Reason::Shed));
        }
        for ticket in release.started {
            self.notify(ticket, Notification::Started);
        }
    }

    /// Releases the slot of a call that ended without a complete response after `spent`.
    fn abandon(&self, policy: &id::Policy, spent: Span) {
        let now = self.clock.now();
        let release = self.admission.borrow_mut().abandon(now, policy, spent);
        self.apply(release);
    }
}

/// The refusal of a call by admission control.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// The time after which a limited call is allowed.
    pub(crate) wait: Option<Span>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { reason, wait: None }
    }
}

/// A position in the queue. Dropping it removes the call from the queue if it was cancelled.
struct Waiter<'g> {
    backend: &'g Rc<Backend>,
    policy: &'g id::Policy,
    ticket: Ticket,
    receiver: oneshot::Receiver<Notification>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.backend.waiting.borrow_mut().remove(&self.ticket);
        let was_queued = self.backend.admission.borrow_mut().cancel(self.ticket);
        // A slot that was assigned to the cancelled call would otherwise never be released.
        if !was_queued && self.receiver.try_recv() == Ok(Notification::Started) {
            self.backend.abandon(self.policy, Span::new(0));
        }
    }
}

/// An exchange with a backend server, which lasts until its response has arrived as a whole.
pub(crate) struct ExchangeGuard(Rc<Backend>);

impl std::fmt::Debug for ExchangeGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ExchangeGuard").finish_non_exhaustive()
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get() - 1);
    }
}

/// A slot at a backend server, released on drop.
pub(crate) struct Slot {
    backend: Rc<Backend>,
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
    fn new(backend: &Rc<Backend>, policy: id::Policy) -> Self {
        Self {
            backend: backend.clone(),
            policy,
            started: backend.clock.now(),
            is_finished: false,
        }
    }

    /// Releases the slot after a complete response.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.backend.clock.now();
        let spent = now.since(self.started);
        if !self.is_finished {
            self.backend.abandon(&self.policy, spent);
            return;
        }
        let mut admission = self.backend.admission.borrow_mut();
        let release = admission.finish(now, &self.policy, spent);
        drop(admission);
        self.backend.apply(release);
    }
}

/// Returns how many calls a backend server can run concurrently: at most one for each connection,
/// since a running call uses a connection of its own.
fn slots(announcement: &Announcement) -> Slots {
    announcement.slots.min(announcement.connections)
}
