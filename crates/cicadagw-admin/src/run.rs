//! The work of the admin duty.

use std::io;

use actix_web::web::Data;

use crate::Setup;
use crate::level::LevelSetter;
use crate::metrics::Metrics;
use crate::server::{Place, Server, State};
use crate::sources::Sources;

/// Serves the pages on the event loop of the calling thread until the `cancel` token of `setup` is cancelled.
///
/// The rest of the node does not depend on the pages: an address that cannot be bound and a server
/// that fails are logged and tried again.
///
/// # Errors
///
/// Fails if the metrics cannot be registered.
pub async fn run(setup: Setup) -> io::Result<()> {
    let Setup {
        address,
        calls,
        cancel,
        control,
        dropped_lines,
        links,
        metrics: metrics_address,
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
    let state = State {
        control: Data::new(control),
        metrics: Data::new(Metrics::new(&sources).map_err(io::Error::other)?),
        set_level: Data::new(LevelSetter(set_level)),
        sources: Data::new(sources),
    };
    let server = Server {
        admin: Place::new("admin", address),
        metrics: metrics_address.map(|address| Place::new("metrics", address)),
        state,
        token,
    };
    server.run(cancel).await;
    Ok(())
}
