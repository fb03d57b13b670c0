//! The HTTP server of the fake platform.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use cicadagw_platform::encoding::path::{KEYS, OBJECTS};

use super::state::State;
use super::{Change, MAX_VALUE_BYTES, Stats, handlers};
use crate::connection;

/// The idle timeout of connections.
const KEEP_ALIVE: Duration = Duration::from_mins(5);

/// The body limit of the server as a multiple of [`MAX_VALUE_BYTES`]; a body above the value limit
/// and below this one is read completely before it is rejected.
const BODY_LIMIT_FACTOR: usize = 4;

/// Access to a fake platform in the same process: its statistics and fault injection.
#[derive(Clone)]
pub struct Handle {
    /// The listen address.
    pub address: SocketAddr,
    state: web::Data<State>,
}

impl Handle {
    /// Updates the injected faults, as POST `/control` does.
    pub fn control(&self, change: Change) {
        self.state.lock().change(change);
    }

    /// Returns the statistics, as GET `/stats` does.
    pub fn stats(&self) -> Stats {
        self.state.lock().stats()
    }
}

/// Creates a fake platform without objects on `listener`. The server starts when the returned
/// future is awaited or spawned.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub fn serve(listener: TcpListener) -> io::Result<(Server, Handle)> {
    let address = listener.local_addr()?;
    let state = web::Data::new(State::default());
    let handle = Handle {
        address,
        state: state.clone(),
    };
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(BODY_LIMIT_FACTOR * MAX_VALUE_BYTES))
            .configure(routes)
    })
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(0)
    .on_connect(connection::store_socket)
    .listen(listener)?
    .run();
    Ok((server, handle))
}

/// Registers the handlers of the object API and of the test interface.
fn routes(config: &mut web::ServiceConfig) {
    let object = web::resource(format!("{OBJECTS}{{key:.*}}"))
        .route(web::get().to(handlers::get))
        .route(web::put().to(handlers::put))
        .route(web::delete().to(handlers::delete));
    config
        .service(web::resource(KEYS).route(web::get().to(handlers::list)))
        .service(object)
        .service(web::resource("/control").route(web::post().to(handlers::control)))
        .service(web::resource("/stats").route(web::get().to(handlers::stats)));
}
