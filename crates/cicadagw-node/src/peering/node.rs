//! A node from its start to its end.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use cicadagw_call::balancer::Locality;
use cicadagw_gossip::Core;
use cicadagw_meter::Meter;
use cicadagw_ring::channel;
use cicadagw_settings::{Peering, Settings};
use cicadagw_unit::time::Span;
use cicadagw_view::Shared;
use tokio_util::sync::CancellationToken;

use super::rings::Rings;
use super::sockets::Sockets;
use super::{gossip, platform};
use crate::duty::Duty;
use crate::{Adapter, Error};

/// Requests of the admin duty that wait. When full, the admin duty refuses.
const REQUESTS_MAX: usize = 8;

/// How long a stopping node still serves callers: two questions a second apart have to find that it
/// is not ready, and what was sent before that has to arrive.
const LINGER: Span = Span::new(2_800);

/// The part of the time for draining that is left when calls are ended, for their last answers and the
/// end of the process: the platform counts calls that are cut in the last sixth of it as ended by it.
const END_PART: u64 = 6;

/// By how much calls are ended later than that.
const END_DELAY: Span = Span::new(50);

/// Runs a node until `stop` is cancelled, and then lets it leave gracefully.
///
/// # Errors
///
/// When an address cannot be listened on, or a duty fails.
pub fn run(
    settings: &Settings,
    peering: &Peering,
    adapter: &Adapter,
    stop: &CancellationToken,
) -> Result<(), Error> {
    let sockets = Sockets::bind(settings, peering)?;
    let seed = rand::random();
    let meter = Meter::default();
    let rings = Rings::new(&meter);
    let view = Shared::default();
    let (ask, requests) = channel("admin-requests", REQUESTS_MAX);
    // Calls end first; what they need from the other duties is there until they have.
    let cancel = CancellationToken::new();
    let stats = Arc::new(cicadagw_proxy::Stats::default());

    let core = cicadagw_gossip::Setup::builder()
        .calls(peering.nodes)
        .domain(settings.domain.clone())
        .first_start(peering.first_start)
        .gossip(settings.link)
        .node(settings.node.clone())
        .region(settings.region.clone())
        .seed(seed)
        .start_ms(unix_milliseconds())
        .build();
    let gossip = gossip::Setup {
        cancel: cancel.clone(),
        stop: stop.clone(),
        core: Core::new(core),
        meter: meter.clone(),
        requests,
        rings: rings.gossip,
        socket: sockets.gossip,
        view: view.clone(),
    };
    let admin = cicadagw_admin::Setup::builder()
        .calls(stats.clone())
        .cancel(cancel.clone())
        .control(ask)
        .links(cicadagw_link::Traffic::default())
        .listener(sockets.admin)
        .meter(meter.clone())
        .metrics(sockets.metrics)
        .node(settings.node.clone())
        .set_level(cicadagw_log::set_level)
        .stop(stop.clone())
        .maybe_token(settings.admin_token.clone())
        .build();
    let mut timing = settings.timing.clone();
    let whole = timing.drain.get();
    timing.drain = Span::new(whole - whole / END_PART + END_DELAY.get());
    let calls = cicadagw_proxy::Setup::builder()
        .announce(sockets.announce)
        .budget(settings.budget.clone())
        .calls(sockets.calls)
        .control(rings.locals)
        .dialect(adapter.dialect.clone())
        .link_rate(peering.link_rate)
        .shutdown_delay(LINGER.min(timing.drain))
        .nodes(sockets.nodes)
        .locality(Locality {
            domain: settings.domain.clone(),
            node: settings.node.clone(),
            region: settings.region.clone(),
        })
        .ready(sockets.ready)
        .retry_slack(peering.retry_slack.into())
        .seed(seed)
        .service(peering.service.clone())
        .stats(stats)
        .timing(timing)
        .token(stop.clone())
        .view(view)
        .build();
    let platform_setup = (
        settings.clone(),
        adapter.clone(),
        rings.platform,
        meter,
        cancel.clone(),
    );

    let others = [
        Duty::start_system("gossip", || gossip::run(gossip))?,
        Duty::start_system("platform", || {
            let (settings, adapter, rings, meter, cancel) = platform_setup;
            platform::run(settings, adapter, rings, meter, cancel)
        })?,
        Duty::start("admin", || cicadagw_admin::run(admin))?,
    ];
    let calls = Duty::start("calls", || cicadagw_proxy::run(calls))?;
    log::info!(node = settings.node.as_str(), service = peering.service.as_str(); "the node runs");
    let ended = calls.join();
    cancel.cancel();
    let outcomes: Vec<_> = others.into_iter().map(Duty::join).collect();
    log::info!("the node has ended");
    outcomes.into_iter().chain([ended]).collect()
}

fn unix_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 is a broken one; the records of an earlier life are then refuted.
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
