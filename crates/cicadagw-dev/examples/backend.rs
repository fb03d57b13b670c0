//! Runs the test backend server.

use std::io;
use std::net::TcpListener;
use std::process::ExitCode;

use actix_web::rt;
use cicadagw_dev::backend::{self, Backend, Change};
use cicadagw_dev::process::print_listening;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    use cicadagw_unit::id::Service;
    use cicadagw_unit::size::Slots;
    use cicadagw_unit::time::Span;

    xflags::xflags! {
        /// A test backend server; it drains and exits on SIGTERM.
        cmd backend {
            /// The listen address for calls; port 0 for any free port.
            required address: SocketAddr
            /// The service of the backend server.
            required service: Service
            /// The address of the host's node for announcements; without it nothing is announced.
            optional --announce announce: SocketAddr
            /// The number in the endpoint id (default: 0).
            optional --number number: u16
            /// The maximum number of concurrent calls to announce (default: 10).
            optional --slots slots: Slots
            /// The maximum number of connections to announce (default: 100).
            optional --connections connections: Slots
            /// The execution time of a call, such as 5ms (default: 0ms).
            optional --work work: Span
            /// The number of calls that are executed concurrently (default: unlimited).
            optional --workers workers: Slots
            /// The time for which calls are accepted after draining began (default: 2000ms).
            optional --linger linger: Span
            /// The file to which the id of every executed request is appended, one per line.
            optional --journal journal: PathBuf
            /// The faults to start with, in the JSON form that /control takes.
            optional --fault fault: String
        }
    }
}

#[actix_web::main]
async fn main() -> ExitCode {
    let flags = flags::Backend::from_env_or_exit();
    match run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            anstream::eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: flags::Backend) -> io::Result<()> {
    let fault: Change = match &flags.fault {
        Some(text) => serde_json::from_str(text)?,
        None => Change::default(),
    };
    let listener = TcpListener::bind(flags.address)?;
    let endpoint = Backend::new_endpoint(&flags.service, flags.number.unwrap_or_default());
    let backend = Backend::builder()
        .maybe_announce(flags.announce)
        .connections(flags.connections.unwrap_or(Slots::new(100)))
        .endpoint(endpoint)
        .maybe_journal(flags.journal)
        .linger(flags.linger.unwrap_or(Span::seconds(2)))
        .service(flags.service)
        .slots(flags.slots.unwrap_or(Slots::new(10)))
        .work(flags.work.unwrap_or_default())
        .maybe_workers(flags.workers)
        .build();
    let (server, handle) = backend::serve(listener, backend)?;
    handle.control(&fault);
    print_listening(handle.address);
    let end = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let terminated = end.clone();
    rt::spawn(async move {
        terminate.recv().await;
        terminated.cancel();
    });
    backend::run(server, handle, end).await
}
