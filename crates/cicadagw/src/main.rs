//! The node program: the proxy and the control plane of one host of backend servers, in one
//! process.

mod commands;
mod flags;

use std::process::ExitCode;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use commands::{Error, Exit};
use flags::{Cicadagw, CicadagwCmd};

/// How long the program waits for its standard error to take the report of an error.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    if std::env::args_os()
        .nth(1)
        .is_some_and(|argument| argument == "--version")
    {
        anstream::println!("cicadagw {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let outcome = match Cicadagw::from_env_or_exit().subcommand {
        CicadagwCmd::Check(check) => commands::check(&check.settings),
        CicadagwCmd::Run(run) => commands::run(run.settings),
        CicadagwCmd::Version(_) => {
            anstream::println!("cicadagw {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    let exit = outcome.as_ref().map_or_else(Exit::from, |()| Exit::Done);
    if let Err(error) = outcome {
        report(error);
    }
    ExitCode::from(exit.code())
}

/// Writes the report of an error to the standard error, from a thread of its own: the program ends
/// even if nobody reads it.
fn report(error: Error) {
    let (done, written) = sync_channel(1);
    let details = error.details();
    let report = miette::Report::from(error);
    let write = move || {
        anstream::eprintln!("Error: {report:?}");
        // Whoever waits may have given up.
        done.try_send(()).ok();
    };
    match thread::Builder::new().spawn(write) {
        Ok(_) => drop(written.recv_timeout(REPORT_TIMEOUT)),
        // A host without threads may have kept the logger from starting as well.
        Err(_) => anstream::eprintln!("Error: {details}"),
    }
}
