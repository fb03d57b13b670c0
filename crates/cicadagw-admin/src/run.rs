//! The HTTP server of the admin duty.

use std::io;
use std::time::Duration;

use actix_web::middleware::from_fn;
use actix_web::rt::System;
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{App, HttpServer};

use crate::guard::Guard;
use crate::metrics::Metrics;
use crate::sources::Sources;
use crate::{Setup, dump, guard, health, level, metrics, problem};

/// How long a request head may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The most connections that are open at once.
const CONNECTIONS_MAX: usize = 64;

/// How long requests in flight may take to finish on shutdown, in seconds.
const SHUTDOWN_TIMEOUT_SECONDS: u64 = 1;

/// Serves the admin pages on the calling thread until the `cancel` token of `setup` is cancelled.
///
/// # Errors
///
/// Fails if the server cannot be started, or fails.
pub fn run(setup: Setup) -> io::Result<()> {
    System::new().block_on(serve(setup))
}

async fn serve(setup: Setup) -> io::Result<()> {
    let Setup {
        calls,
        cancel,
        control,
        dropped_lines,
        links,
        listener,
        metrics: metrics_listener,
        meter,
        node,
        set_level,
        stop,
        token,
    } = setup;
    let sources = Sources {
        calls,
        dropped_lines,
        links,
        meter,
        node,
        stop,
    };
    let metrics = Data::new(Metrics::new(&sources).map_err(io::Error::other)?);
    let control = Data::new(control);
    let open_address = match &metrics_listener {
        Some(listener) => Some(listener.local_addr()?),
        None => None,
    };
    let guard = Data::new(Guard::new(token.as_deref(), open_address));
    let set_level = Data::new(level::LevelSetter(set_level));
    let sources = Data::new(sources);
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(control.clone())
            .app_data(guard.clone())
            .app_data(metrics.clone())
            .app_data(set_level.clone())
            .app_data(sources.clone())
            .wrap(from_fn(guard::check))
            .configure(pages)
            .default_service(web::to(problem::page_not_found))
    })
    .client_request_timeout(REQUEST_TIMEOUT)
    .disable_signals()
    .listen(listener)?
    .max_connections(CONNECTIONS_MAX)
    .shutdown_timeout(SHUTDOWN_TIMEOUT_SECONDS)
    .workers(1);
    if let Some(listener) = metrics_listener {
        server = server.listen(listener)?;
    }
    let server = server.run();
    let handle = server.handle();
    actix_web::rt::spawn(async move {
        cancel.cancelled().await;
        handle.stop(true).await;
    });
    server.await
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
