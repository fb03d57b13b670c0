//! The control duty: feeds events to the control core and carries out the effects that it returns.

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

/// Interval of the tick events, on which the core evaluates timeouts and other time-based rules.
const TICK: Duration = Duration::from_millis(100);

/// The inputs of [`run`].
pub(crate) struct Setup {
    /// Stops the event loop.
    pub(crate) cancel: CancellationToken,
    /// Cancelled when the node starts to shut down; the node then announces that it leaves.
    pub(crate) stop: CancellationToken,
    pub(crate) core: Core,
    pub(crate) meter: Meter,
    pub(crate) requests: Receiver<Request>,
    pub(crate) rings: rings::Control,
    pub(crate) view: Shared,
}

/// Runs the event loop until the `cancel` token of `setup` is cancelled, or the ring of commands,
/// link events, local updates or replies is closed.
pub(crate) async fn run(setup: Setup) -> io::Result<()> {
    let cancel = setup.cancel.clone();
    let stop = setup.stop.clone();
    let mut is_shutting_down = false;
    // Whether the ring of the admin duty is open.
    let mut has_admin = true;
    let mut event_loop = EventLoop {
        clock: Clock::start(),
        setup,
    };
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let rings = &event_loop.setup.rings;
        let event = tokio::select! {
            () = cancel.cancelled() => return Ok(()),
            () = stop.cancelled(), if !is_shutting_down => {
                is_shutting_down = true;
                Some(Event::Shutdown)
            }
            _ = ticks.tick() => Some(Event::Tick),
            event = rings.links.recv() => event.map(Event::Link),
            local = rings.locals.recv() => local.map(Event::Local),
            reply = rings.replies.recv() => reply.map(Event::Platform),
            request = event_loop.setup.requests.recv(), if has_admin => {
                has_admin = request.is_some();
                event_loop.answer_request(request);
                continue;
            }
        };
        // `None` means that a ring is closed: the duty at its other end has ended, so this duty
        // ends as well.
        let Some(event) = event else { return Ok(()) };
        if event_loop.handle(event).await.is_err() {
            return Ok(());
        }
    }
}

/// The state of the event loop.
struct EventLoop {
    clock: Clock,
    setup: Setup,
}

impl EventLoop {
    /// Passes `event` to the core and carries out the effects.
    async fn handle(&mut self, event: Event) -> Result<(), cicadagw_ring::Closed> {
        let is_tick = matches!(event, Event::Tick);
        let mut failed = Vec::new();
        for effect in self.setup.core.step(self.clock.now(), event) {
            match effect {
                Effect::Link(command) => self.setup.rings.commands.send(command).await?,
                Effect::Log(notice) => log_notice(&notice),
                Effect::Platform(call) => failed.extend(self.submit(call)),
                Effect::Publish(view) => self.setup.view.publish(view),
            }
        }
        for reply in failed {
            // The core never retries a failed call immediately, so there are no further effects to
            // carry out.
            self.setup
                .core
                .step(self.clock.now(), Event::Platform(reply));
        }
        self.record_versions();
        if is_tick {
            self.record_endpoints();
        }
        Ok(())
    }

    /// Enqueues a call for the platform duty. Returns a failed reply if the ring is full or closed.
    fn submit(&self, call: cicadagw_control::platform::Call) -> Option<Reply> {
        match self.setup.rings.calls.try_send(call) {
            Ok(()) => None,
            Err(TrySendError::Full(call) | TrySendError::Closed(call)) => Some(Reply {
                purpose: call.purpose,
                outcome: Err(Error::Unavailable(
                    "the ring of calls to the platform duty is full or closed".to_owned(),
                )),
            }),
        }
    }

    /// Answers a request of the admin duty.
    fn answer_request(&self, request: Option<Request>) {
        if let Some(Request::Dump(reply)) = request {
            let dump = serde_json::to_value(self.setup.core.dump()).unwrap_or_default();
            // The admin request may have timed out in the meantime.
            let _ = reply.send(dump);
        }
    }

    /// Updates the metrics of the version held and of the highest one seen.
    fn record_versions(&self) {
        let core = &self.setup.core;
        if let Some(held) = core.held() {
            self.setup.meter.record_held(held.version);
        }
        self.setup.meter.record_seen(core.highest_seen());
    }

    /// Updates the endpoint metrics. This scans the whole endpoint table, so it runs only once per
    /// tick.
    fn record_endpoints(&self) {
        let core = &self.setup.core;
        for state in [State::Ready, State::Draining, State::Gone] {
            self.setup
                .meter
                .set_endpoints(state, core.endpoint_count(state));
        }
    }
}

/// Writes a notice of the core to the log.
fn log_notice(notice: &Notice) {
    match notice {
        Notice::Adopted(version) => log::info!(version = version.get(); "{notice}"),
        Notice::Refused(version, _) => {
            log::warn!(version = version.get(), next = "the node keeps its current configuration"; "{notice}");
        }
        Notice::ParentLost(_) => log::warn!(next = "the node asks another parent"; "{notice}"),
        Notice::LeaseAcquired(_) | Notice::JoinedParent(_) | Notice::LeaseLost(_) => {
            log::info!("{notice}");
        }
    }
}
