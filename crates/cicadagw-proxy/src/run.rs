//! The calls duty from its start to its end.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use cicadagw_http::server;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::listen::Kind;
use crate::listener::Listener;
use crate::node::{Node, Parts};
use crate::{Setup, upkeep};

/// How long the last answers may take to go out after the last call.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// Serves calls and announcements until the token of `setup` is cancelled, then finishes the calls
/// under way and returns.
///
/// # Errors
///
/// When a listener cannot be served.
pub fn run(setup: Setup) -> io::Result<()> {
    actix::System::new().block_on(serve(setup))
}

async fn serve(setup: Setup) -> io::Result<()> {
    let calls = match setup.nodes {
        Some(_) => Kind::Callers,
        None => Kind::Calls,
    };
    let kinds = [
        (Kind::Announcements, Some(setup.announce)),
        (calls, Some(setup.calls)),
        (Kind::Nodes, setup.nodes),
        (Kind::Ready, setup.ready),
    ];
    let node = Rc::new(Node::new(Parts {
        budget: setup.budget,
        control: setup.control,
        dialect: setup.dialect,
        limits: setup.limits,
        shutdown_delay: setup.shutdown_delay,
        link_rate: setup.link_rate,
        locality: setup.locality,
        retry_slack: setup.retry_slack,
        seed: setup.seed,
        service: setup.service,
        stats: setup.stats,
        timing: setup.timing,
        view: setup.view,
    }));
    let closed = CancellationToken::new();
    for (kind, listener) in kinds {
        if let Some(listener) = listener {
            let listener = asynchronous(listener)?;
            let service = Rc::new(Listener::new(node.clone(), kind));
            actix::spawn(server::serve(listener, service, closed.clone()));
        }
    }
    upkeep::run(&node, &setup.token).await;
    closed.cancel();
    sleep(LAST_ANSWERS).await;
    Ok(())
}

fn asynchronous(listener: TcpListener) -> io::Result<tokio::net::TcpListener> {
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}
