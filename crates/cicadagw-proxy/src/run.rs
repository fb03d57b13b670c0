//! The calls duty from its start to its end.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use tokio_util::sync::CancellationToken;

use crate::node::{Node, Parts};
use crate::{Setup, announce, ingress, upkeep};

/// How long an idle connection from a caller or another node is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How long a connection may take to bring the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// How long connections may take to close after the last call, in seconds.
const CLOSE_TIMEOUT_SECONDS: u64 = 2;

thread_local! {
    /// The state of the duty on its one thread. The server makes one application for each listener,
    /// and all of them share this.
    static NODE: RefCell<Option<Rc<Node>>> = const { RefCell::new(None) };
}

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
    let announce_address = setup.announce.local_addr()?;
    let drained = CancellationToken::new();
    let parts = Parts {
        budget: setup.budget,
        control: setup.control,
        drained: drained.clone(),
        limits: setup.limits,
        linger: setup.linger,
        place: setup.place,
        seed: setup.seed,
        stats: setup.stats,
        timing: setup.timing,
        token: setup.token,
        view: setup.view,
    };
    let server = HttpServer::new(move || {
        let node = node(&parts);
        App::new().default_service(web::to(move |request, payload| {
            dispatch(node.clone(), announce_address, request, payload)
        }))
    })
    .workers(1)
    .disable_signals()
    .h1_allow_half_closed(false)
    .tcp_nodelay(true)
    .keep_alive(KEEP_ALIVE)
    .client_request_timeout(HEAD_TIMEOUT)
    .shutdown_timeout(CLOSE_TIMEOUT_SECONDS)
    .listen(setup.calls)?
    .listen(setup.announce)?
    .run();
    let handle = server.handle();
    let running = actix_web::rt::spawn(server);
    drained.cancelled().await;
    handle.stop(true).await;
    running.await.map_err(io::Error::other)?
}

async fn dispatch(
    node: Rc<Node>,
    announce_address: SocketAddr,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    if request.app_config().local_addr() == announce_address {
        announce::handle(&node, &request, payload).await
    } else {
        ingress::handle(node, request, payload.into_inner()).await
    }
}

/// Returns the state of this thread, made on the first call.
fn node(parts: &Parts) -> Rc<Node> {
    NODE.with(|held| {
        held.borrow_mut()
            .get_or_insert_with(|| start(parts))
            .clone()
    })
}

fn start(parts: &Parts) -> Rc<Node> {
    let node = Rc::new(Node::new(parts));
    let (token, drained) = (parts.token.clone(), parts.drained.clone());
    actix_web::rt::spawn(upkeep::run(node.clone(), token, drained));
    node
}
