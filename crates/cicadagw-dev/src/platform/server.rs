//! The stand-in's HTTP server.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use cicadagw_platform::encoding::path::{KEYS, OBJECTS};

use super::state::State;
use super::{Change, Stats, VALUE_MAX, handlers};
use crate::connection;

/// How long an idle connection stays open.
const KEEP_ALIVE: Duration = Duration::from_mins(5);

/// How many values' worth of bytes the server reads before it says that a value is too long.
const BODY_FACTOR: usize = 4;

/// Looks into a stand-in of the same process, and makes it fail.
#[derive(Clone)]
pub struct Handle {
    /// Where it answers.
    pub address: SocketAddr,
    state: web::Data<State>,
}

impl Handle {
    /// Changes the faults.
    pub fn control(&self, change: Change) {
        self.state.lock().change(change);
    }

    /// Returns what it has seen.
    pub fn stats(&self) -> Stats {
        self.state.lock().stats()
    }
}

/// Starts a stand-in with no objects on `listener`; the server runs when it is awaited or spawned.
///
/// # Errors
///
/// When the listener cannot be used.
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
            .app_data(web::PayloadConfig::new(BODY_FACTOR * VALUE_MAX))
            .configure(routes)
    })
    .workers(1)
    .keep_alive(KEEP_ALIVE)
    .shutdown_timeout(0)
    .on_connect(connection::keep)
    .listen(listener)?
    .run();
    Ok((server, handle))
}

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
