//! Starts the listeners of the proxy, and closes them when it shuts down.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_http::server::{self, Connections};
use tokio::runtime::Builder;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::departed::Departed;
use crate::listener::Listener;
use crate::listener_kind::ListenerKind;
use crate::node::Node;
use crate::parts::Parts;
use crate::room::Room;
use crate::{Setup, departed, descriptor_limit, maintenance, quotas};

/// The maximum time for writing the last responses after the last call has ended.
pub(crate) const LAST_RESPONSES_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs [`serve`] on an event loop of the calling thread.
///
/// # Errors
///
/// Returns an error when the event loop cannot be created, and those of [`serve`].
pub fn run(setup: Setup) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    actix::System::with_tokio_rt(|| runtime).block_on(serve(setup))
}

/// Serves calls and announcements until the token of `setup` is cancelled, then finishes the calls
/// in flight and returns. Must run on an actix system.
///
/// # Errors
///
/// Returns an error when a socket cannot be registered with the event loop.
pub async fn serve(setup: Setup) -> io::Result<()> {
    let calls = match setup.nodes {
        Some(_) => ListenerKind::Callers,
        None => ListenerKind::Calls,
    };
    let kinds = [
        (ListenerKind::Announcements, Some(setup.announce)),
        (calls, Some(setup.calls)),
        (ListenerKind::Nodes, setup.nodes),
        (ListenerKind::Ready, setup.ready),
    ];
    let (quota_requests, grants) = match setup.quota {
        Some(quota) => (Some(quota.requests), Some(quota.grants)),
        None => (None, None),
    };
    let limit = descriptor_limit::raise(Room::descriptors(&setup.budget));
    let room = Room::new(&setup.budget, limit);
    let node = Rc::new(Node::new(Parts {
        backend_service: setup.backend_service,
        budget: setup.budget,
        control: setup.control,
        departed: Departed::new(setup.departures.is_some()),
        dialect: setup.dialect,
        limits: setup.limits,
        shutdown_delay: setup.shutdown_delay,
        link_rate: setup.link_rate,
        locality: setup.locality,
        quota_requests,
        reports: setup.reports,
        room,
        retry_slack: setup.retry_slack,
        revocation: setup.revocation,
        seed: setup.seed,
        service: setup.service,
        stats: setup.stats,
        timing: setup.timing,
        view: setup.view,
    }));
    let closed = CancellationToken::new();
    let servers = TaskTracker::new();
    for (kind, listener) in kinds {
        if let Some(listener) = listener {
            let listener = into_tokio(listener)?;
            let service = Rc::new(Listener::new(node.clone(), kind));
            let open = Connections::new(room.connections(kind), node.ledger.clone());
            let serving = server::serve_within(listener, service, closed.clone(), Rc::new(open));
            servers.spawn_local(serving);
        }
    }
    if let Some(grants) = grants {
        let node = node.clone();
        let closed = closed.clone();
        servers.spawn_local(async move {
            let receiving = quotas::receive(&node, &grants);
            closed.run_until_cancelled(receiving).await;
        });
    }
    if let Some(departures) = setup.departures {
        let node = node.clone();
        let closed = closed.clone();
        servers.spawn_local(async move {
            let receiving = departed::receive(&node, &departures);
            closed.run_until_cancelled(receiving).await;
        });
    }
    maintenance::run(&node, &setup.token).await;
    closed.cancel();
    servers.close();
    if timeout(LAST_RESPONSES_TIMEOUT, servers.wait())
        .await
        .is_err()
    {
        log::warn!("connections are still open at the end of the shutdown and are reset");
    }
    Ok(())
}

fn into_tokio(listener: TcpListener) -> io::Result<tokio::net::TcpListener> {
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}
