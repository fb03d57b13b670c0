//! The gossip duty: feeds what happens to the decisions, and hands out what they lead to.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use cicadagw_admin::Request;
use cicadagw_endpoint::State;
use cicadagw_gossip::{Call, Core, Effect, Event, Message, Notice, Reply};
use cicadagw_meter::Meter;
use cicadagw_platform::Error;
use cicadagw_ring::{Receiver, TrySendError};
use cicadagw_view::Shared;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::rings;
use crate::clock::Clock;

/// How often the decisions look at what time alone changes.
const TICK: Duration = Duration::from_millis(100);

/// The largest datagram that is read, in bytes.
const DATAGRAM_MAX: usize = 64 << 10;

/// What the gossip duty is set up with.
pub(crate) struct Setup {
    pub(crate) cancel: CancellationToken,
    /// Cancelled when the node begins to stop.
    pub(crate) stop: CancellationToken,
    pub(crate) core: Core,
    pub(crate) meter: Meter,
    pub(crate) requests: Receiver<Request>,
    pub(crate) rings: rings::Gossip,
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) view: Shared,
}

/// Decides until the token of `setup` is cancelled.
pub(crate) async fn run(setup: Setup) -> io::Result<()> {
    setup.socket.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(setup.socket)?;
    let mut has_left = false;
    let mut duty = Duty {
        clock: Clock::start(),
        core: setup.core,
        meter: setup.meter,
        rings: setup.rings,
        socket,
        view: setup.view,
    };
    let mut datagram = vec![0; DATAGRAM_MAX];
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            () = setup.cancel.cancelled() => return Ok(()),
            () = setup.stop.cancelled(), if !has_left => {
                has_left = true;
                Some(Event::Leave)
            }
            _ = ticks.tick() => Some(Event::Tick),
            local = duty.rings.locals.recv() => local.map(Event::Local),
            reply = duty.rings.replies.recv() => reply.map(Event::Reply),
            received = duty.socket.recv_from(&mut datagram) => {
                match read(received, &datagram) {
                    Some(message) => Some(Event::Message(message)),
                    None => continue,
                }
            }
            request = setup.requests.recv() => {
                duty.answer(request);
                continue;
            }
        };
        // A ring ends only when its duty did, and then the whole node ends.
        let Some(event) = event else { return Ok(()) };
        duty.step(event).await;
    }
}

/// Reads a message; what is none is dropped, since anyone can send datagrams.
fn read(received: io::Result<(usize, SocketAddr)>, datagram: &[u8]) -> Option<Message> {
    let (length, from) = received
        .map_err(|error| log::debug!(error:%; "a datagram could not be received"))
        .ok()?;
    Message::decode(&datagram[..length])
        .map_err(|error| log::warn!(from:%, error:%; "a datagram is no message"))
        .ok()
}

struct Duty {
    clock: Clock,
    core: Core,
    meter: Meter,
    rings: rings::Gossip,
    socket: UdpSocket,
    view: Shared,
}

impl Duty {
    /// Decides on `event` and does what follows.
    async fn step(&mut self, event: Event) {
        let is_tick = matches!(event, Event::Tick);
        let mut failed = Vec::new();
        for effect in self.core.step(self.clock.now(), event) {
            match effect {
                Effect::Call(call) => failed.extend(self.call(call)),
                Effect::Log(notice) => write(&notice),
                Effect::Publish(view) => self.view.publish(view),
                Effect::Send(to, message) => self.send(to, &message).await,
            }
        }
        for reply in failed {
            // What follows from a failed call is never another call at once.
            self.core.step(self.clock.now(), Event::Reply(reply));
        }
        if is_tick {
            self.count();
        }
    }

    /// Hands a call to the platform duty; one that finds no room fails at once.
    fn call(&self, call: Call) -> Option<Reply> {
        let (TrySendError::Full(call) | TrySendError::Closed(call)) =
            self.rings.calls.try_send(call).err()?;
        let error = || Error::Unavailable("too many calls are under way".to_owned());
        Some(match call {
            Call::Register { .. } => Reply::Registered(Err(error())),
            Call::Members => Reply::Members(Err(error())),
            Call::Read | Call::Watch { .. } => Reply::Configuration(Err(error())),
            Call::Fetch(_) => Reply::Fetched(Err(error())),
        })
    }

    async fn send(&self, to: SocketAddr, message: &Message) {
        if let Err(error) = self.socket.send_to(&message.encode(), to).await {
            log::debug!(to:%, error:%; "a datagram could not be sent");
        }
    }

    fn answer(&self, request: Option<Request>) {
        if let Some(Request::Dump(reply)) = request {
            let members: Vec<_> = self.core.table().iter().collect();
            let dump = json!({ "version": self.core.version(), "members": members });
            // The one who asked may have gone.
            reply.send(dump).ok();
        }
    }

    fn count(&self) {
        self.meter.hold(self.core.version());
        self.meter.see(self.core.version());
        let backends = || {
            let members = self.core.table().iter();
            members.filter_map(|member| member.backend.as_ref())
        };
        let ready = backends().filter(|backend| backend.is_ready).count();
        let draining = backends().count() - ready;
        self.meter.set_endpoints(State::Ready, ready as u64);
        self.meter.set_endpoints(State::Draining, draining as u64);
    }
}

fn write(notice: &Notice) {
    match notice {
        Notice::Adopted { version, from_node } => {
            log::info!(version = version.get(), from_node; "{notice}");
        }
        Notice::Refused(reason) => {
            log::warn!(reason:%, next = "the version held stays in force"; "{notice}");
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
        Notice::PlatformAvailable => log::info!("{notice}"),
        Notice::PlatformUnavailable(reason) => {
            log::warn!(reason:%, next = "other nodes are asked for the configuration"; "{notice}");
        }
    }
}
