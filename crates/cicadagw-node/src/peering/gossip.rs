//! The gossip duty: feeds events to the gossip core and carries out the effects that it returns.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cicadagw_admin::Request;
use cicadagw_endpoint::{Departures, State};
use cicadagw_gossip::{Call, Core, Effect, Event, Message, Notice, Reply};
use cicadagw_meter::Meter;
use cicadagw_platform::Error;
use cicadagw_ring::{Receiver, TrySendError};
use cicadagw_rollout::{Decision, Directive, Phase};
use cicadagw_unit::id;
use cicadagw_view::Shared;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, sleep};
use tokio_util::sync::CancellationToken;

use super::rings;
use crate::clock::Clock;

/// Interval of the tick events, on which the core evaluates timeouts and other time-based rules.
const TICK: Duration = Duration::from_millis(100);

/// Size of the receive buffer in bytes, enough for any UDP datagram.
const DATAGRAM_BUFFER_BYTES: usize = 64 << 10;

/// The delay before datagrams are received again after a failure, so that a lasting one does not
/// take the processor.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The inputs of [`run`].
pub(crate) struct Setup {
    /// Stops the event loop.
    pub(crate) cancel: CancellationToken,
    /// Cancelled when the node starts to shut down; the node then announces that it leaves.
    pub(crate) stop: CancellationToken,
    pub(crate) clock: Clock,
    pub(crate) core: Core,
    pub(crate) meter: Meter,
    pub(crate) requests: Receiver<Request>,
    pub(crate) rings: rings::Gossip,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) view: Shared,
}

/// Runs the event loop until the `cancel` token of `setup` is cancelled, or the ring of local
/// updates or of replies is closed.
pub(crate) async fn run(setup: Setup) -> io::Result<()> {
    setup.socket.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(setup.socket)?;
    let mut is_shutting_down = false;
    // Whether the ring of the admin duty is open.
    let mut has_admin = true;
    let mut event_loop = EventLoop {
        clock: setup.clock,
        core: setup.core,
        meter: setup.meter,
        rings: setup.rings,
        socket,
        stored: None,
        view: setup.view,
    };
    let mut datagram = vec![0; DATAGRAM_BUFFER_BYTES];
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            () = setup.cancel.cancelled() => return Ok(()),
            () = setup.stop.cancelled(), if !is_shutting_down => {
                is_shutting_down = true;
                Some(Event::Shutdown)
            }
            _ = ticks.tick() => Some(Event::Tick),
            local = event_loop.rings.locals.recv() => local.map(Event::Local),
            request = event_loop.rings.quota_requests.recv() => request.map(Event::Quota),
            report = event_loop.rings.reports.recv() => report.map(|report| Event::Report(Box::new(report))),
            reply = event_loop.rings.replies.recv() => reply.map(Event::Reply),
            received = event_loop.socket.recv_from(&mut datagram) => {
                match received {
                    Ok((length, sender)) => match decode(sender, &datagram[..length]) {
                        Some(message) => Some(Event::Message(sender, message)),
                        None => continue,
                    },
                    Err(error) => {
                        log::warn!(error:%; "failed to receive a datagram");
                        sleep(RECEIVE_RETRY_DELAY).await;
                        continue;
                    }
                }
            }
            request = setup.requests.recv(), if has_admin => {
                has_admin = request.is_some();
                event_loop.answer_request(request);
                continue;
            }
        };
        // `None` means that a ring is closed: the calls duty or the platform duty has ended, so
        // this duty ends as well.
        let Some(event) = event else { return Ok(()) };
        event_loop.handle(event).await;
    }
}

/// Decodes a datagram. One that is not a message is logged and dropped, since anyone can send
/// datagrams.
fn decode(sender: SocketAddr, datagram: &[u8]) -> Option<Message> {
    Message::decode(datagram)
        .map_err(|error| {
            log::warn!(from:% = sender, error:%; "dropped a datagram that is not a valid message");
        })
        .ok()
}

/// The state of the event loop.
struct EventLoop {
    clock: Clock,
    core: Core,
    meter: Meter,
    rings: rings::Gossip,
    socket: UdpSocket,
    /// The departures that the platform has stored, if the calls duty has yet to be told.
    stored: Option<Departures>,
    view: Shared,
}

impl EventLoop {
    /// Passes `event` to the core and carries out the effects.
    async fn handle(&mut self, event: Event) {
        let is_tick = matches!(event, Event::Tick);
        let mut failed = Vec::new();
        for effect in self.core.step(self.clock.now(), event) {
            match effect {
                Effect::Call(call) => failed.extend(self.submit(call)),
                // An answer that does not fit is lost, as a datagram may be.
                Effect::Grant(grant) => drop(self.rings.quota_grants.try_send(grant)),
                Effect::Stored(departures) => self.stored = Some(departures),
                Effect::Log(notice) => log_notice(&notice),
                Effect::Publish(view) => self.view.publish(view),
                Effect::Send(to, message) => self.send(to, &message).await,
            }
        }
        for reply in failed {
            // The core never retries a failed call immediately, so there are no further effects to
            // carry out.
            self.core.step(self.clock.now(), Event::Reply(reply));
        }
        self.pass_on_stored();
        if is_tick {
            self.record_metrics();
        }
    }

    /// Tells the calls duty which departures the platform has stored. What does not fit the ring is
    /// sent after the next event, unless newer departures replace it.
    fn pass_on_stored(&mut self) {
        if let Some(departures) = self.stored.take()
            && let Err(TrySendError::Full(departures)) = self.rings.stored.try_send(departures)
        {
            self.stored = Some(departures);
        }
    }

    /// Enqueues a call for the platform duty. Returns a failed reply if the ring is full or closed.
    fn submit(&self, call: Call) -> Option<Reply> {
        let (TrySendError::Full(call) | TrySendError::Closed(call)) =
            self.rings.calls.try_send(call).err()?;
        let reason = "the ring of calls to the platform duty is full or closed";
        Some(call.failure(Error::Unavailable(reason.to_owned())))
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        if let Err(error) = self.socket.send_to(&message.encode(), to).await {
            log::debug!(to:%, error:%; "failed to send a datagram to another node");
        }
    }

    /// Answers a request of the admin duty.
    fn answer_request(&self, request: Option<Request>) {
        if let Some(Request::Dump(reply)) = request {
            let members: Vec<_> = self.core.table().iter().collect();
            let rollouts: Vec<_> = self.core.rollouts().collect();
            let dump = json!({
                "version": self.core.version(),
                "members": members,
                "rollouts": rollouts,
            });
            // The admin request may have timed out in the meantime.
            reply.send(dump).ok();
        }
    }

    /// Updates the metrics of the version held, which is also recorded as the highest one seen, and
    /// of the endpoints known.
    fn record_metrics(&self) {
        self.meter.record_held(self.core.version());
        self.meter.record_seen(self.core.version());
        let confirmed_age = self.core.confirmed_age(self.clock.now());
        self.meter.set_confirmed_age(confirmed_age);
        let backends = || {
            let members = self.core.table().iter();
            members.filter_map(|member| member.backend.as_ref())
        };
        let ready = backends().filter(|backend| backend.is_ready).count();
        let draining = backends().count() - ready;
        self.meter.set_endpoints(State::Ready, ready as u64);
        self.meter.set_endpoints(State::Draining, draining as u64);
        self.meter.set_quotas_owned(self.core.quotas_owned() as u64);
        let phases = || self.core.rollouts().filter_map(Directive::phase);
        let done = phases().filter(|phase| *phase == Phase::Done).count();
        let rolled_back = phases().filter(|phase| *phase == Phase::RolledBack).count();
        let running = phases().count() - done - rolled_back;
        self.meter
            .set_rollouts([running, done, rolled_back].map(|number| number as u64));
        self.meter.set_rollouts_led(self.core.rollouts_led() as u64);
    }
}

/// Writes a notice of the core to the log.
fn log_notice(notice: &Notice) {
    match notice {
        Notice::Adopted { version, from_node } => {
            log::info!(version = version.get(), from_node; "{notice}");
        }
        Notice::Refused(reason) => {
            log::warn!(reason:%, next = "the node keeps its current configuration"; "{notice}");
        }
        Notice::DeparturesRestored(departures) => {
            let endpoints: Vec<_> = departures
                .iter()
                .map(|departure| departure.endpoint.as_str())
                .collect();
            log::info!(endpoints = endpoints.join(","); "{notice}");
        }
        Notice::MemberChanged(member) => {
            let endpoint = member.backend.as_ref();
            let endpoint = endpoint.map_or("-", |backend| backend.endpoint.as_str());
            let is_ready = member
                .backend
                .as_ref()
                .is_some_and(|backend| backend.is_ready);
            log::info!(member:% = member.node, stamp:% = member.stamp, endpoint, is_ready, is_leaving = member.is_leaving; "{notice}");
        }
        Notice::RolloutOrdered(directive) => {
            let target = directive
                .status
                .as_ref()
                .map(|status| status.target.as_str());
            log::info!(service:% = directive.service, term:% = directive.term, target = target.unwrap_or("-"); "{notice}");
        }
        Notice::RolloutLed { service, .. } => log::info!(service:%; "{notice}"),
        Notice::RolloutDecided {
            service,
            decision,
            exposure,
        } => log_decision(service, decision, *exposure),
        Notice::RolloutServiceUnknown(service) => {
            log::warn!(service:%, field = "service", next = "the rollout waits for backend servers"; "{notice}");
        }
        Notice::RolloutNotWritten(service, reason) => {
            log::warn!(service:%, reason:%, next = "the write is repeated"; "{notice}");
        }
        Notice::Fresh(age) => log::info!(age_ms = age.get(); "{notice}"),
        Notice::Stale(age) => {
            log::warn!(age_ms = age.get(), next = "the node refuses calls with keys until the platform or another node confirms the configuration"; "{notice}");
        }
        Notice::PlatformRestored(era) => {
            log::warn!(era = era.get(), next = "the node reads anew what it knew up to a revision of an earlier era"; "{notice}");
        }
        Notice::PlatformAvailable | Notice::Watching(_) => log::info!("{notice}"),
        Notice::PlatformUnavailable {
            reason,
            confirmed_age,
        } => {
            log::warn!(reason:%, confirmed_age_ms = confirmed_age.get(), next = "the node requests the configuration from other nodes"; "{notice}");
        }
    }
}

/// Writes a decision about a rollout to the log. A renewal of the leadership is a decision as well.
fn log_decision(service: &id::Service, decision: &Decision, (reached, exposed): (u64, u64)) {
    let Decision { fault, status } = decision;
    let (phase, share, target) = (status.phase, status.share, &status.target);
    if let Some(fault) = fault {
        log::warn!(service:%, target:%, fault:%, reached, exposed, next = "the release gets no more calls"; "rollout stopped");
    }
    log::info!(service:%, target:%, phase:%, share:%, beat = status.beat, reached, exposed; "rollout decided");
}
