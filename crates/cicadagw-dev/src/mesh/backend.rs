//! Test backend servers of a mesh.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use crate::backend::{Change, Stats};
use crate::http::{block_on, get_json, post};
use crate::process::{Node, Process, Program, Programs};

/// A test backend server in a process of its own; it announces itself to the node of its host.
#[derive(Debug)]
pub struct Backend {
    /// Its listen address, for calls and for `/stats` and `/control`.
    pub address: SocketAddr,
    /// The file that it appends the id of every executed request to.
    pub journal: PathBuf,
    /// Its process.
    pub process: Process,
    /// The service that it belongs to.
    pub service: &'static str,
}

impl Backend {
    /// Starts a backend server of `service` on the host of `node`. Its log and journal go into
    /// `dir`; `arguments` are added to its command line.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started or does not listen.
    pub fn start(
        programs: &Programs,
        dir: &Path,
        service: &'static str,
        node: &Node,
        arguments: &[&str],
    ) -> io::Result<Self> {
        let name = format!("{service}-{:08x}", rand::random::<u32>());
        let journal = dir.join(format!("{name}.journal"));
        let mut command = Command::new(programs.path(Program::Backend));
        command
            .arg(SocketAddr::new(node.host, 0).to_string())
            .arg(service)
            .args(["--announce", &node.announce.to_string()])
            .arg("--journal")
            .arg(&journal)
            .args(arguments);
        let (process, address) = Process::start_server(&name, &mut command, dir)?;
        Ok(Self {
            address,
            journal,
            process,
            service,
        })
    }

    /// Requests its statistics.
    ///
    /// # Errors
    ///
    /// Fails if the request fails.
    pub fn stats(&self) -> io::Result<Stats> {
        block_on(get_json(self.address, "/stats")).map_err(io::Error::other)
    }

    /// Updates its injected faults.
    ///
    /// # Errors
    ///
    /// Fails if the request fails.
    pub fn control(&self, change: &Change) -> io::Result<()> {
        let response = block_on(post(self.address, "/control", change));
        response.map(drop).map_err(io::Error::other)
    }
}
