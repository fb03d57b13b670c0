//! Operators, who use `cicadactl`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use super::{Program, Programs};

/// An operator: runs `cicadactl` against one platform under one operator's name.
#[derive(Clone, Debug)]
pub struct Operator {
    name: String,
    platform: SocketAddr,
    program: PathBuf,
}

impl Operator {
    /// Creates an operator called `name` of the platform at the address `platform`.
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
    /// When the process cannot be started.
    pub fn output(&self, arguments: &[&str]) -> io::Result<Output> {
        Command::new(&self.program)
            .arg("--platform")
            .arg(self.platform.to_string())
            .args(["--operator", &self.name])
            .args(arguments)
            .output()
    }

    /// Runs `cicadactl` with `arguments` and returns its standard output.
    ///
    /// # Errors
    ///
    /// When it cannot be started or does not exit with zero; the error holds its output.
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
