//! Runs the stand-in of a backend server.

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
        /// A stand-in of a backend server. It drains when it is asked to end.
        cmd backend {
            /// Where it takes calls; port 0 for any.
            required address: SocketAddr
            /// The service.
            required service: Service
            /// The announce address of the host's node.
            optional --announce announce: SocketAddr
            /// The number in its endpoint id.
            optional --number number: u16
            /// How many calls it says it runs at once.
            optional --slots slots: Slots
            /// How many connections it says it takes.
            optional --connections connections: Slots
            /// How long a call takes, such as 5ms.
            optional --work work: Span
            /// How many calls it really runs at once; all of them by default.
            optional --workers workers: Slots
            /// For how long it takes late calls after it began to drain, such as 2000ms.
            optional --linger linger: Span
            /// The file that gets the id of every request that runs, one a line.
            optional --journal journal: PathBuf
            /// Faults from the start, in JSON as for /control.
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
    let asked = end.clone();
    rt::spawn(async move {
        terminate.recv().await;
        asked.cancel();
    });
    backend::run(server, handle, end).await
}
