//! Demonstrates the whole system on this machine, with each part in a process of its own: from a
//! configuration change by the operator to calls that are routed by it.

mod mesh;
mod steps;

use std::io;
use std::process::ExitCode;

use cicadagw_dev::process::ScratchDir;

fn main() -> ExitCode {
    let mut scratch = match ScratchDir::new() {
        Ok(scratch) => scratch,
        Err(error) => return failed(&error),
    };
    match steps::run(&scratch) {
        Ok(()) => {
            anstream::println!("demo: ok");
            ExitCode::SUCCESS
        }
        Err(error) => {
            scratch.keep();
            anstream::eprintln!(
                "the logs and settings of the processes are kept in {}",
                scratch.path().display()
            );
            failed(&error)
        }
    }
}

/// Prints the error of a failed step.
fn failed(error: &io::Error) -> ExitCode {
    anstream::eprintln!("demo: failed: {error}");
    ExitCode::FAILURE
}
