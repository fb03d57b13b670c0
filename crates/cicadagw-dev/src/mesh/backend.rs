//! A backend server of a mesh.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use crate::backend::{Change, Stats};
use crate::http::{block_on, get_json, post};
use crate::process::{Node, Process, Program, Programs};

/// A backend server that announces itself to the node of its host.
#[derive(Debug)]
pub struct Backend {
    /// Where it answers.
    pub address: SocketAddr,
    /// The file that gets the id of every request that runs.
    pub journal: PathBuf,
    /// Its process.
    pub process: Process,
    /// Its service.
    pub service: &'static str,
}

impl Backend {
    /// Starts a backend server of `service` on the host of `node`, with more `arguments`.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub fn start(
        programs: &Programs,
        folder: &Path,
        service: &'static str,
        node: &Node,
        arguments: &[&str],
    ) -> io::Result<Self> {
        let name = format!("{service}-{:08x}", rand::random::<u32>());
        let journal = folder.join(format!("{name}.journal"));
        let mut command = Command::new(programs.path(Program::Backend));
        command
            .arg(SocketAddr::new(node.host, 0).to_string())
            .arg(service)
            .args(["--announce", &node.announce.to_string()])
            .arg("--journal")
            .arg(&journal)
            .args(arguments);
        let (process, address) = Process::start_server(&name, &mut command, folder)?;
        Ok(Self {
            address,
            journal,
            process,
            service,
        })
    }

    /// Returns what it has seen.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub fn stats(&self) -> io::Result<Stats> {
        block_on(get_json(self.address, "/stats")).map_err(io::Error::other)
    }

    /// Changes its faults.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub fn control(&self, change: &Change) -> io::Result<()> {
        let answer = block_on(post(self.address, "/control", change));
        answer.map(drop).map_err(io::Error::other)
    }
}
