//! The HTTP server of the test backend server, and its lifecycle.

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

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// The idle timeout of connections.
const KEEP_ALIVE: Duration = Duration::from_mins(5);

/// The configuration of a test backend server.
#[derive(Builder, Clone, Debug)]
pub struct Backend {
    /// The address of the host's node for announcements; without one, nothing is announced.
    pub announce: Option<SocketAddr>,
    /// The maximum number of connections, as announced.
    #[builder(default = Slots::new(100))]
    pub connections: Slots,
    /// The endpoint id; a new one for every start of the process.
    pub endpoint: id::Endpoint,
    /// The file that the id of every executed request is appended to, one per line. Ids written
    /// before the process is killed are kept.
    pub journal: Option<PathBuf>,
    /// The time after the start of draining during which calls are still accepted.
    #[builder(default = Span::seconds(2))]
    pub linger: Span,
    /// The service of the backend server.
    pub service: id::Service,
    /// The maximum number of concurrent calls, as announced.
    #[builder(default = Slots::new(10))]
    pub slots: Slots,
    /// The time that the execution of a call takes.
    #[builder(default)]
    pub work: Span,
    /// The number of calls that are executed concurrently, which may differ from the announced
    /// [`Backend::slots`]; the others wait. Unlimited if `None`.
    pub workers: Option<Slots>,
}

impl Backend {
    /// Returns a new endpoint id made of `service`, `number` and a random suffix.
    ///
    /// # Panics
    ///
    /// Panics if the name of the service is so long that the id exceeds its maximum length.
    pub fn new_endpoint(service: &id::Service, number: u16) -> id::Endpoint {
        let suffix: u32 = rand::random();
        let text = format!("{service}-{number}-{suffix:08x}");
        text.parse()
            .expect("the service name is short enough for an endpoint id")
    }
}

/// Access to a test backend server in the same process: its statistics and fault injection.
#[derive(Clone)]
pub struct Handle {
    /// The listen address for calls.
    pub address: SocketAddr,
    state: web::Data<State>,
}

impl Handle {
    /// Updates the injected faults, as POST `/control` does.
    pub fn control(&self, change: &Change) {
        self.state.lock().faults.apply(change);
    }

    /// Returns how often the request with the id `request` was executed.
    pub fn executions(&self, request: &str) -> u32 {
        self.state.lock().executions.count(request)
    }

    /// Returns the statistics, as GET `/stats` does.
    pub fn stats(&self) -> Stats {
        self.state.stats()
    }
}

/// Creates the server of `backend` on `listener`. It starts when the returned future is awaited or
/// spawned, and announces nothing; [`run`] does.
///
/// # Errors
///
/// Fails if the listener or the journal cannot be used.
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
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
            .route("/control", web::post().to(handlers::control))
            .route("/executions", web::post().to(handlers::executions))
            .route("/stats", web::get().to(handlers::stats))
            .default_service(web::to(handlers::call))
    })
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .disable_signals()
    .on_connect(connection::store_socket)
    .listen(listener)?
    .run();
    Ok((server, handle))
}

/// Runs and announces a backend server until `end` is cancelled, then drains it: it announces that
/// it is draining, still takes calls for [`Backend::linger`], finishes the calls in flight,
/// withdraws its announcement and stops.
///
/// # Errors
///
/// Fails if the server fails.
pub async fn run(server: Server, handle: Handle, end: CancellationToken) -> io::Result<()> {
    let state = handle.state;
    let control = server.handle();
    let serving = rt::spawn(server);
    let withdraw = CancellationToken::new();
    let announcing = state.backend.announce.map(|node| {
        let announcing = announcer::announce(state.clone(), node, withdraw.clone());
        rt::spawn(announcing)
    });
    end.cancelled().await;
    state.drain();
    sleep(state.backend.linger.into()).await;
    state.idle().await;
    withdraw.cancel();
    if let Some(announcing) = announcing {
        announcing.await.map_err(io::Error::other)?;
    }
    control.stop(true).await;
    serving.await.map_err(io::Error::other)?
}
