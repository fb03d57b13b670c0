//! The operator, who works by `cicadactl`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

use super::{Program, Programs};

/// Runs `cicadactl` under one operator's name.
#[derive(Clone, Debug)]
pub struct Operator {
    name: String,
    platform: SocketAddr,
    program: PathBuf,
}

impl Operator {
    /// Creates an operator who works at the platform at `platform`.
    pub fn new(programs: &Programs, name: &str, platform: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            platform,
            program: programs.path(Program::Cicadactl),
        }
    }

    /// Runs `cicadactl` with `arguments`, and returns what it writes and how it ends.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub fn output(&self, arguments: &[&str]) -> io::Result<Output> {
        Command::new(&self.program)
            .arg("--platform")
            .arg(self.platform.to_string())
            .args(["--operator", &self.name])
            .args(arguments)
            .output()
    }

    /// Runs `cicadactl` with `arguments`, and returns what it writes.
    ///
    /// # Errors
    ///
    /// When it does not exit with zero, with what it wrote.
    pub fn run(&self, arguments: &[&str]) -> io::Result<String> {
        let output = self.output(arguments)?;
        let written = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(written);
        }
        let error = String::from_utf8_lossy(&output.stderr);
        let command = arguments.join(" ");
        let reason = format!("cicadactl {command}: {}\n{written}{error}", output.status);
        Err(io::Error::other(reason))
    }
}
