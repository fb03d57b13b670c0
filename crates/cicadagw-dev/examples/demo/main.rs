//! Shows the whole path on this machine, each part as a process of its own.

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
            anstream::eprintln!("logs and settings are in {}", scratch.path().display());
            failed(&error)
        }
    }
}

fn failed(error: &io::Error) -> ExitCode {
    anstream::eprintln!("demo: failed: {error}");
    ExitCode::FAILURE
}
