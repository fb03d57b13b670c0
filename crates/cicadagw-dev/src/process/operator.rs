//! Commands of an operator, run with `cicadactl`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use super::{Program, Programs};

/// Runs `cicadactl` as a child process, with fixed `--platform` and `--operator` arguments.
#[derive(Clone, Debug)]
pub struct Operator {
    name: String,
    platform: SocketAddr,
    program: PathBuf,
}

impl Operator {
    /// Creates a runner for the operator `name` and the platform at the address `platform`.
    pub fn new(programs: &Programs, name: &str, platform: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            platform,
            program: programs.path(Program::Cicadactl),
        }
    }

    /// Runs `cicadactl` with `arguments` and returns its output and exit status.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn output(&self, arguments: &[&str]) -> io::Result<Output> {
        Command::new(&self.program)
            .arg("--platform")
            .arg(self.platform.to_string())
            .args(["--operator", &self.name])
            .args(arguments)
            .output()
    }

    /// Like [`Operator::output`], but checks the exit status and returns the standard output alone.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or exits with a non-zero status; the error contains
    /// its output.
    pub fn run(&self, arguments: &[&str]) -> io::Result<String> {
        let output = self.output(arguments)?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(stdout);
        }
        let stderr = String::from_utf8_lossy(&output.stderr);
        let command = arguments.join(" ");
        let reason = format!("cicadactl {command}: {}\n{stdout}{stderr}", output.status);
        Err(io::Error::other(reason))
    }
}
