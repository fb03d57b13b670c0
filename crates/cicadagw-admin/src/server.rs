//! The HTTP server of the admin duty.

use std::future::pending;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::pin;
use std::time::{Duration, Instant};

use actix_web::middleware::from_fn;
use actix_web::rt::spawn;
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{App, HttpServer};
use cicadagw_ring::Sender;
use compact_str::CompactString;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::guard::Guard;
use crate::level::LevelSetter;
use crate::metrics::Metrics;
use crate::sources::Sources;
use crate::{Delay, Request, dump, guard, health, level, metrics, problem};

/// How long a request head may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The most connections that are open at once.
const CONNECTIONS_MAX: usize = 64;

/// How long requests in flight may take to finish on shutdown, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 1;

/// How long a server has to run before its start counts as a success.
const SETTLED_AFTER: Duration = Duration::from_secs(1);

/// The inputs of the pages.
#[derive(Clone)]
pub(crate) struct State {
    pub(crate) control: Data<Sender<Request>>,
    pub(crate) metrics: Data<Metrics>,
    pub(crate) set_level: Data<LevelSetter>,
    pub(crate) sources: Data<Sources>,
}

/// A listen address of pages, and whether they are served there.
pub(crate) struct Place {
    /// The settings key.
    key: &'static str,
    address: SocketAddr,
    /// Since when no pages are served there, if so.
    failing_since: Option<Instant>,
}

impl Place {
    /// Creates the address of the settings key `key`.
    pub(crate) const fn new(key: &'static str, address: SocketAddr) -> Self {
        Self {
            key,
            address,
            failing_since: None,
        }
    }

    /// Logs `error` if it is the first one since pages were served.
    fn fail(&mut self, error: &io::Error) {
        let Self { key, address, .. } = *self;
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            log::warn!(
                key, address:%, error:%,
                next = "the node runs without these pages; tries again after 1 s at first, and every 30 s later";
                "cannot serve pages"
            );
        }
    }

    /// Logs that pages are served, if they were not before.
    fn succeed(&mut self) {
        let Self { key, address, .. } = *self;
        if let Some(since) = self.failing_since.take() {
            let took_ms = since.elapsed().as_millis();
            log::info!(key, address:%, took_ms:%; "the pages are served");
        }
    }
}

/// A server of pages.
pub(crate) struct Server {
    /// Where all pages are served.
    pub(crate) admin: Place,
    /// Where only metrics are served.
    pub(crate) metrics: Option<Place>,
    pub(crate) state: State,
    /// The bearer token that requests for pages at `admin` must present, if any.
    pub(crate) token: Option<CompactString>,
}

impl Server {
    /// Serves until `cancel` is cancelled. While an address cannot be bound, and after the server has
    /// failed, tries again after a [`Delay`]. A server that is added an address starts anew.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        let mut delay = Delay::default();
        while !cancel.is_cancelled() {
            let admin = bind(&mut self.admin);
            let metrics = self.metrics.as_mut().and_then(bind);
            let mut missing = Vec::new();
            let mut served = Vec::new();
            for (place, is_bound) in [
                (Some(&mut self.admin), admin.is_some()),
                (self.metrics.as_mut(), metrics.is_some()),
            ] {
                match place {
                    Some(place) if is_bound => served.push(place),
                    Some(place) => missing.push(place.address),
                    None => {}
                }
            }
            if !served.is_empty() {
                let stop = cancel.child_token();
                let metrics_address = metrics.as_ref().map(|(_, address)| *address);
                let guard = Guard::new(self.token.as_deref(), metrics_address);
                let listeners = admin.into_iter().chain(metrics);
                let listeners = listeners.map(|(listener, _)| listener);
                let mut serving = pin!(serve(listeners, guard, &self.state, stop.clone()));
                let settled = async {
                    sleep(SETTLED_AFTER).await;
                    delay = Delay::default();
                    for place in &mut served {
                        place.succeed();
                    }
                    until_free(&missing).await;
                };
                let outcome = tokio::select! {
                    outcome = &mut serving => outcome,
                    () = settled => {
                        stop.cancel();
                        if let Err(error) = serving.await {
                            log::debug!(error:%; "the server of pages failed while it stopped");
                        }
                        continue;
                    }
                };
                if cancel.is_cancelled() {
                    return;
                }
                let error = outcome
                    .err()
                    .unwrap_or_else(|| io::Error::other("the server has ended"));
                for place in served {
                    place.fail(&error);
                }
            }
            tokio::select! {
                () = cancel.cancelled() => {}
                () = sleep(delay.after_failure()) => {}
            }
        }
    }
}

/// Binds an address; returns the listener and its actual address. Logs an error.
fn bind(place: &mut Place) -> Option<(TcpListener, SocketAddr)> {
    let bound = TcpListener::bind(place.address).and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    bound.inspect_err(|error| place.fail(error)).ok()
}

/// Waits until one of `addresses` can be bound; forever if there is none.
async fn until_free(addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return pending().await;
    }
    let mut delay = Delay::default();
    let is_free = |address: &SocketAddr| TcpListener::bind(address).is_ok();
    while !addresses.iter().any(is_free) {
        sleep(delay.after_failure()).await;
    }
}

/// Serves on `listeners` until `cancel` is cancelled or the server fails.
async fn serve(
    listeners: impl Iterator<Item = TcpListener>,
    guard: Guard,
    state: &State,
    cancel: CancellationToken,
) -> io::Result<()> {
    let guard = Data::new(guard);
    let state = state.clone();
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(guard.clone())
            .app_data(state.control.clone())
            .app_data(state.metrics.clone())
            .app_data(state.set_level.clone())
            .app_data(state.sources.clone())
            .wrap(from_fn(guard::check))
            .configure(pages)
            .default_service(web::to(problem::page_not_found))
    })
    .client_request_timeout(REQUEST_TIMEOUT)
    .disable_signals()
    .max_connections(CONNECTIONS_MAX)
    .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
    .workers(1);
    for listener in listeners {
        server = server.listen(listener)?;
    }
    let running = async move {
        let server = server.run();
        let handle = server.handle();
        let stop = spawn(async move {
            cancel.cancelled().await;
            handle.stop(true).await;
        });
        let outcome = server.await;
        stop.abort();
        outcome
    };
    // The server starts threads of its own and panics if it cannot.
    spawn(running).await.map_err(io::Error::other)?
}

/// Registers the pages with their methods.
fn pages(config: &mut ServiceConfig) {
    let page = |path| web::resource(path).default_service(web::to(problem::method_not_allowed));
    config
        .service(page("/dump").route(web::get().to(dump::page)))
        .service(page("/live").route(web::get().to(health::live)))
        .service(page("/log-level").route(web::put().to(level::page)))
        .service(page("/metrics").route(web::get().to(metrics::page)))
        .service(page("/ready").route(web::get().to(health::ready)));
}
