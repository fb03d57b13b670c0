//! The backend server's HTTP server and its life.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, rt, web};
use bon::Builder;
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::state::State;
use super::{Change, Stats, announcer, handlers};
use crate::connection;

/// The longest body of a request, in bytes.
const BODY_MAX: usize = 256 << 20;

/// How long an idle connection stays open.
const KEEP_ALIVE: Duration = Duration::from_mins(5);

/// A backend server.
#[derive(Builder, Clone, Debug)]
pub struct Backend {
    /// The announce address of the host's node; without one nothing is announced.
    pub announce: Option<SocketAddr>,
    /// How many connections it says it takes.
    #[builder(default = Slots::new(100))]
    pub connections: Slots,
    /// The endpoint; new for every start.
    pub endpoint: id::Endpoint,
    /// The file that gets the id of every request that runs, one a line; it outlives a kill.
    pub journal: Option<PathBuf>,
    /// For how long it takes late calls after it began to drain.
    #[builder(default = Span::seconds(2))]
    pub linger: Span,
    /// The service.
    pub service: id::Service,
    /// How many calls it says it runs at once.
    #[builder(default = Slots::new(10))]
    pub slots: Slots,
    /// How long a call takes.
    #[builder(default)]
    pub work: Span,
    /// How many calls it really runs at once; the others wait in it. Without this, all run.
    pub workers: Option<Slots>,
}

impl Backend {
    /// Returns a new endpoint id for a server of `service` at `number`.
    ///
    /// # Panics
    ///
    /// When the name of the service leaves no room for the rest of an id.
    pub fn new_endpoint(service: &id::Service, number: u16) -> id::Endpoint {
        let start: u32 = rand::random();
        let text = format!("{service}-{number}-{start:08x}");
        text.parse().expect("a service's name leaves room")
    }
}

/// Looks into a backend server of the same process, and makes it fail.
#[derive(Clone)]
pub struct Handle {
    /// Where it takes calls.
    pub address: SocketAddr,
    state: web::Data<State>,
}

impl Handle {
    /// Changes the faults.
    pub fn control(&self, change: &Change) {
        self.state.lock().fault.apply(change);
    }

    /// Returns how often `request` ran.
    pub fn executions(&self, request: &str) -> u32 {
        self.state.lock().executions.of(request)
    }

    /// Returns what it has seen.
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }
}

/// Starts `backend` on `listener`; the server runs when it is awaited or spawned, and announces
/// nothing.
///
/// # Errors
///
/// When the listener or the journal cannot be used.
pub fn serve(listener: TcpListener, backend: Backend) -> io::Result<(Server, Handle)> {
    let address = listener.local_addr()?;
    let state = web::Data::new(State::new(address, backend)?);
    let handle = Handle {
        address,
        state: state.clone(),
    };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(BODY_MAX))
            .app_data(web::JsonConfig::default().limit(BODY_MAX))
            .route("/control", web::post().to(handlers::control))
            .route("/executions", web::post().to(handlers::executions))
            .route("/stats", web::get().to(handlers::stats))
            .default_service(web::to(handlers::call))
    })
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .disable_signals()
    .on_connect(connection::keep)
    .listen(listener)?
    .run();
    Ok((server, handle))
}

/// Runs a backend server until `end`, then drains it: it announces that it leaves, takes late calls
/// for a while, ends what is in flight and takes its announcement back.
///
/// # Errors
///
/// When the server fails.
pub async fn run(server: Server, handle: Handle, end: CancellationToken) -> io::Result<()> {
    let state = handle.state;
    let stopper = server.handle();
    let serving = rt::spawn(server);
    let gone = CancellationToken::new();
    let announcing = state.backend.announce.map(|node| {
        let announcing = announcer::announce(state.clone(), node, gone.clone());
        rt::spawn(announcing)
    });
    end.cancelled().await;
    state.drain();
    sleep(state.backend.linger.into()).await;
    state.idle().await;
    gone.cancel();
    if let Some(announcing) = announcing {
        announcing.await.map_err(io::Error::other)?;
    }
    stopper.stop(true).await;
    serving.await.map_err(io::Error::other)?
}
