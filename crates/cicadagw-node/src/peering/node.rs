//! Startup and shutdown of a peering node.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use cicadagw_call::balancer::Locality;
use cicadagw_gossip::Core;
use cicadagw_meter::Meter;
use cicadagw_ring::channel;
use cicadagw_settings::{Peering, Settings};
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::{Shared, host_time};
use tokio_util::sync::CancellationToken;

use super::rings::Rings;
use super::sockets::Sockets;
use super::{gossip, platform};
use crate::clock::Clock;
use crate::duty::Duty;
use crate::end::End;
use crate::{Adapter, Error};

/// Capacity of the ring of requests from the admin duty, in messages. When it is full, the admin
/// duty refuses the request.
const REQUESTS_CAPACITY: usize = 8;

/// How long a stopping node still accepts calls: two readiness probes a second apart have to find
/// that it is not ready, and the calls that were sent before that have to arrive.
const SHUTDOWN_DELAY: Span = Span::new(2_800);

/// The largest share of the drain time for which a stopping node still accepts calls; the rest is
/// for those accepted last.
const SHUTDOWN_DELAY_SHARE: Permille = Permille::new(600);

/// Divides the drain time: calls in flight are ended when only a sixth of it is left. That rest is
/// for their last responses and the end of the process. The platform counts calls that are cut within
/// the last sixth of the drain time as ended by the drain.
const DRAIN_RESERVE_DIVISOR: u64 = 6;

/// How long after the start of that last sixth calls in flight are ended.
const DRAIN_END_DELAY: Span = Span::new(50);

/// Runs a node until `stop` is cancelled, and then lets it leave gracefully.
///
/// # Errors
///
/// Fails if an address cannot be bound, or a duty fails.
pub fn run(
    settings: &Settings,
    peering: &Peering,
    adapter: &Adapter,
    stop: &CancellationToken,
) -> Result<(), Error> {
    let Some(sockets) = Sockets::bind(settings, peering, stop)? else {
        return Ok(());
    };
    let seed = rand::random();
    let meter = Meter::default();
    let rings = Rings::new(&meter);
    let view = Shared::default();
    let (request_sender, requests) = channel("admin-requests", REQUESTS_CAPACITY);
    // The calls duty ends first: calls in flight still need the other duties, which this token
    // ends.
    let cancel = CancellationToken::new();
    let stats = Arc::new(cicadagw_proxy::Stats::default());

    let origin = host_time();
    let clock = match peering.revocation {
        Some(_) => Clock::from_host_time(origin),
        None => Clock::start(),
    };
    let gossip = gossip::Setup {
        cancel: cancel.clone(),
        stop: stop.clone(),
        clock,
        core: Core::new(core_setup(settings, peering, origin, seed)),
        meter: meter.clone(),
        requests,
        rings: rings.gossip,
        socket: sockets.gossip,
        view: view.clone(),
    };
    let admin = cicadagw_admin::Setup::builder()
        .address(settings.admin)
        .calls(stats.clone())
        .cancel(cancel.clone())
        .control(request_sender)
        .dropped_lines(cicadagw_log::dropped_lines)
        .links(cicadagw_link::Traffic::default())
        .meter(meter.clone())
        .metrics(peering.metrics)
        .node(settings.node.clone())
        .set_level(cicadagw_log::set_level)
        .stop(stop.clone())
        .maybe_token(settings.admin_token.clone())
        .build();
    let mut timing = settings.timing.clone();
    let drain_time = timing.drain.get();
    timing.drain =
        Span::new(drain_time - drain_time / DRAIN_RESERVE_DIVISOR + DRAIN_END_DELAY.get());
    let accepting_max = Span::new(SHUTDOWN_DELAY_SHARE.of(timing.drain.get()));
    let calls = cicadagw_proxy::Setup::builder()
        .announce(sockets.announce)
        .backend_service(peering.service.clone())
        .budget(settings.budget.clone())
        .calls(sockets.calls)
        .control(rings.locals)
        .departures(rings.departures)
        .dialect(adapter.dialect.clone())
        .link_rate(peering.link_rate)
        .shutdown_delay(SHUTDOWN_DELAY.min(accepting_max))
        .nodes(sockets.nodes)
        .locality(Locality {
            domain: settings.domain.clone(),
            node: settings.node.clone(),
            region: settings.region.clone(),
        })
        .quota(rings.quota)
        .ready(sockets.ready)
        .reports(rings.reports)
        .retry_slack(peering.retry_slack.into())
        .maybe_revocation(peering.revocation)
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
        Duty::start_system("gossip", stop, || gossip::run(gossip))?,
        Duty::start_system("platform", stop, || {
            let (settings, adapter, rings, meter, cancel) = platform_setup;
            platform::run(settings, adapter, rings, meter, cancel)
        })?,
        Duty::start_system("admin", stop, || cicadagw_admin::run(admin))?,
    ];
    let calls = Duty::start_system("calls", stop, || cicadagw_proxy::serve(calls))?;
    log::info!(node = settings.node.as_str(), service = peering.service.as_str(); "the node has started");
    let calls = calls.join();
    cancel.cancel();
    let others = others.map(Duty::join);
    log::info!("the node has stopped");
    End::outcome(others.into_iter().chain([calls]))
}

/// Returns the parameters of the gossip core of a node whose clock started at `origin`.
fn core_setup(
    settings: &Settings,
    peering: &Peering,
    origin: Timestamp,
    seed: u64,
) -> cicadagw_gossip::Setup {
    cicadagw_gossip::Setup::builder()
        .calls(peering.nodes)
        .domain(settings.domain.clone())
        .first_start(peering.first_start)
        .gossip(settings.link)
        .node(settings.node.clone())
        .origin(origin)
        .region(settings.region.clone())
        .maybe_revocation(peering.revocation)
        .rollouts(peering.rollouts)
        .seed(seed)
        .start_ms(unix_milliseconds())
        .build()
}

/// Returns the milliseconds since 1970, as the start time of this run of the node.
fn unix_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 is broken; with 0, the node refutes the records of its earlier runs.
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
