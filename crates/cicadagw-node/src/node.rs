//! Startup and shutdown of a node in the distribution tree.

use std::sync::Arc;

use cicadagw_call::balancer::Locality;
use cicadagw_control::Core;
use cicadagw_meter::Meter;
use cicadagw_ring::channel;
use cicadagw_settings::Settings;
use cicadagw_view::Shared;
use tokio_util::sync::CancellationToken;

use crate::duty::Duty;
use crate::end::End;
use crate::rings::Rings;
use crate::sockets::Sockets;
use crate::{Error, control, platform};

/// Capacity of the ring of requests from the admin duty, in messages. When it is full, the admin
/// duty refuses the request.
const REQUESTS_CAPACITY: usize = 8;

/// Runs a node until `stop` is cancelled, and then lets it leave gracefully.
///
/// # Errors
///
/// Fails if an address cannot be bound, an embedded state chart is invalid, or a duty fails.
pub fn run(settings: &Settings, stop: &CancellationToken) -> Result<(), Error> {
    let Some(sockets) = Sockets::bind(settings, stop)? else {
        return Ok(());
    };
    let seed = rand::random();
    let core = Core::new(settings, seed).map_err(Error::Charts)?;
    let meter = Meter::default();
    let rings = Rings::new(&meter);
    let view = Shared::default();
    let (request_sender, requests) = channel("admin-requests", REQUESTS_CAPACITY);
    // The calls duty ends first: calls in flight still need the other duties, which this token
    // ends.
    let cancel = CancellationToken::new();

    let control = control::Setup {
        cancel: cancel.clone(),
        stop: stop.clone(),
        core,
        meter: meter.clone(),
        requests,
        rings: rings.control,
        view: view.clone(),
    };
    let traffic = cicadagw_link::Traffic::default();
    let stats = Arc::new(cicadagw_proxy::Stats::default());
    let links = cicadagw_link::Setup::builder()
        .listener(sockets.link)
        .commands(rings.links.commands)
        .events(rings.links.events)
        .cancel(cancel.clone())
        .region(settings.region.clone())
        .traffic(traffic.clone())
        .build();
    let admin = cicadagw_admin::Setup::builder()
        .address(settings.admin)
        .calls(stats.clone())
        .cancel(cancel.clone())
        .control(request_sender)
        .dropped_lines(cicadagw_log::dropped_lines)
        .links(traffic)
        .meter(meter.clone())
        .node(settings.node.clone())
        .set_level(cicadagw_log::set_level)
        .stop(stop.clone())
        .maybe_token(settings.admin_token.clone())
        .build();
    let calls = cicadagw_proxy::Setup::builder()
        .announce(sockets.announce)
        .budget(settings.budget.clone())
        .calls(sockets.calls)
        .control(rings.locals)
        .locality(Locality {
            domain: settings.domain.clone(),
            node: settings.node.clone(),
            region: settings.region.clone(),
        })
        .seed(seed)
        .stats(stats)
        .timing(settings.timing.clone())
        .token(stop.clone())
        .view(view)
        .build();
    let platform_settings = settings.clone();
    let platform_cancel = cancel.clone();
    let platform_rings = rings.platform;
    let platform_meter = meter.clone();

    let others = [
        Duty::start_system("control", stop, || control::run(control))?,
        Duty::start_system("links", stop, || cicadagw_link::run(links))?,
        Duty::start_system("platform", stop, || {
            platform::run(
                platform_settings,
                platform_rings,
                platform_meter,
                platform_cancel,
            )
        })?,
        Duty::start_system("admin", stop, || cicadagw_admin::run(admin))?,
    ];
    let calls = Duty::start_system("calls", stop, || cicadagw_proxy::serve(calls))?;
    log::info!(node = settings.node.as_str(); "the node has started");
    let calls = calls.join();
    cancel.cancel();
    let others = others.map(Duty::join);
    log::info!("the node has stopped");
    End::outcome(others.into_iter().chain([calls]))
}
