//! The control duty: feeds what happens to the decisions, and hands out what they lead to.

use std::io;
use std::time::Duration;

use cicadagw_admin::Request;
use cicadagw_control::platform::Reply;
use cicadagw_control::{Core, Effect, Event, Notice};
use cicadagw_endpoint::State;
use cicadagw_meter::Meter;
use cicadagw_platform::Error;
use cicadagw_ring::{Receiver, TrySendError};
use cicadagw_view::Shared;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::rings;

/// How often the decisions look at what time alone changes.
const TICK: Duration = Duration::from_millis(100);

/// What the control duty is set up with.
pub(crate) struct Setup {
    pub(crate) cancel: CancellationToken,
    /// Cancelled when the node begins to stop.
    pub(crate) stop: CancellationToken,
    pub(crate) core: Core,
    pub(crate) meter: Meter,
    pub(crate) requests: Receiver<Request>,
    pub(crate) rings: rings::Control,
    pub(crate) view: Shared,
}

/// Decides until the token of `setup` is cancelled.
pub(crate) async fn run(setup: Setup) -> io::Result<()> {
    let cancel = setup.cancel.clone();
    let stop = setup.stop.clone();
    let mut has_left = false;
    let mut duty = Duty {
        clock: Clock::start(),
        setup,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let rings = &duty.setup.rings;
        let event = tokio::select! {
            () = cancel.cancelled() => return Ok(()),
            () = stop.cancelled(), if !has_left => {
                has_left = true;
                Some(Event::Leave)
            }
            _ = ticks.tick() => Some(Event::Tick),
            event = rings.links.recv() => event.map(Event::Link),
            local = rings.locals.recv() => local.map(Event::Local),
            reply = rings.replies.recv() => reply.map(Event::Platform),
            request = duty.setup.requests.recv() => {
                duty.answer(request);
                continue;
            }
        };
        // A ring ends only when its duty did, and then the whole node ends.
        let Some(event) = event else { return Ok(()) };
        if duty.step(event).await.is_err() {
            return Ok(());
        }
    }
}

struct Duty {
    clock: Clock,
    setup: Setup,
}

impl Duty {
    /// Decides on `event` and does what follows.
    async fn step(&mut self, event: Event) -> Result<(), cicadagw_ring::Closed> {
        let is_tick = matches!(event, Event::Tick);
        let mut failed = Vec::new();
        for effect in self.setup.core.step(self.clock.now(), event) {
            match effect {
                Effect::Link(command) => self.setup.rings.commands.send(command).await?,
                Effect::Log(notice) => write(&notice),
                Effect::Platform(call) => failed.extend(self.call(call)),
                Effect::Publish(view) => self.setup.view.publish(view),
            }
        }
        for reply in failed {
            // What follows from a failed call is never another call at once.
            self.setup
                .core
                .step(self.clock.now(), Event::Platform(reply));
        }
        self.tell_versions();
        if is_tick {
            self.count_endpoints();
        }
        Ok(())
    }

    /// Hands a call to the platform duty; one that finds no room fails at once.
    fn call(&self, call: cicadagw_control::platform::Call) -> Option<Reply> {
        match self.setup.rings.calls.try_send(call) {
            Ok(()) => None,
            Err(TrySendError::Full(call) | TrySendError::Closed(call)) => Some(Reply {
                purpose: call.purpose,
                outcome: Err(Error::Unavailable(
                    "too many calls are under way".to_owned(),
                )),
            }),
        }
    }

    fn answer(&self, request: Option<Request>) {
        if let Some(Request::Dump(reply)) = request {
            let dump = serde_json::to_value(self.setup.core.dump()).unwrap_or_default();
            // The one who asked may have gone.
            let _ = reply.send(dump);
        }
    }

    fn tell_versions(&self) {
        let core = &self.setup.core;
        if let Some(held) = core.held() {
            self.setup.meter.hold(held.version);
        }
        self.setup.meter.see(core.highest_seen());
    }

    /// Counts the whole table, so only once in a tick.
    fn count_endpoints(&self) {
        let core = &self.setup.core;
        for state in [State::Ready, State::Draining, State::Gone] {
            self.setup
                .meter
                .set_endpoints(state, core.endpoint_count(state));
        }
    }
}

fn write(notice: &Notice) {
    match notice {
        Notice::Adopted(version) => log::info!(version = version.get(); "{notice}"),
        Notice::Refused(version, _) => {
            log::warn!(version = version.get(), next = "the version held stays in force"; "{notice}");
        }
        Notice::ParentLost(_) => log::warn!(next = "another parent is asked"; "{notice}"),
        Notice::LeaseAcquired(_) | Notice::ParentJoined(_) | Notice::LeaseLost(_) => {
            log::info!("{notice}")
        }
    }
}
