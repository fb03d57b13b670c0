//! A fleet of nodes, each a process with its own loopback address.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;

use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use serde_json::{Value, json};

use super::locality::{Addresses, next_host};
use super::{Locality, Process, Program, Programs};
use crate::http;

/// The number of nodes per rack.
const NODES_PER_RACK: usize = 4;

/// The nodes of one or more failure domains.
#[derive(Debug)]
pub struct Fleet {
    /// All nodes, grouped by failure domain.
    pub nodes: Vec<Node>,
}

/// A node with its settings file; its process may be running or not.
#[derive(Debug)]
pub struct Node {
    /// The listen address of its admin pages.
    pub admin: SocketAddr,
    /// The listen address for the announcements of backend servers on its host.
    pub announce: SocketAddr,
    /// The listen address for calls.
    pub calls: SocketAddr,
    /// Its loopback address, which represents its host; the backend servers of the host listen
    /// there too.
    pub host: IpAddr,
    /// The listen address for links from other nodes.
    pub link: SocketAddr,
    /// The name of the node.
    pub name: id::Node,
    /// Its region and failure domain.
    pub locality: Locality,
    /// The maximum number of file descriptors of its next process; unlimited by this if `None`.
    pub descriptors_max: Option<u32>,
    /// Its process; `None` while it is stopped.
    pub process: Option<Process>,
    program: PathBuf,
    settings: PathBuf,
}

impl Fleet {
    /// Writes settings files for `count` nodes in each of `localities` into `dir`. The top-level
    /// keys of `overrides` replace or extend the settings of every node.
    ///
    /// # Errors
    ///
    /// Fails if no free port is found, the settings are invalid, or a file cannot be written.
    pub fn new(
        programs: &Programs,
        dir: &Path,
        localities: &[Locality],
        count: usize,
        overrides: &Value,
    ) -> io::Result<Self> {
        let mut nodes = Vec::new();
        for locality in localities {
            let mut addresses = Vec::new();
            for _ in 0..count {
                addresses.push(Addresses::allocate(next_host())?);
            }
            let seeds: Vec<SocketAddr> = addresses.iter().map(|listen| listen.link).collect();
            for (number, listen) in addresses.iter().enumerate() {
                let mut settings = settings(locality, number, listen, &seeds);
                merge(&mut settings, overrides);
                nodes.push(Node::new(programs, dir, locality, listen, &settings)?);
            }
        }
        Ok(Self { nodes })
    }

    /// Starts every stopped node; their logs go into `dir`.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn start(&mut self, dir: &Path) -> io::Result<()> {
        let stopped = self.nodes.iter_mut().filter(|node| node.process.is_none());
        for node in stopped {
            node.start(dir)?;
        }
        Ok(())
    }

    /// Returns the first node of the failure domain `domain`.
    pub fn first_in_domain(&self, domain: &id::Domain) -> Option<&Node> {
        let mut nodes = self.nodes.iter();
        nodes.find(|node| node.locality.domain == *domain)
    }
}

impl Node {
    fn new(
        programs: &Programs,
        dir: &Path,
        locality: &Locality,
        listen: &Addresses,
        settings: &Value,
    ) -> io::Result<Self> {
        let text = serde_json::to_string_pretty(settings)?;
        let checked = cicadagw_settings::load("node settings", &text);
        let checked = checked.map_err(|findings| io::Error::other(findings.to_string()))?;
        let path = dir.join(format!("{}.jsonc", checked.node));
        fs::write(&path, &text)?;
        Ok(Self {
            admin: listen.admin,
            announce: listen.announce,
            calls: listen.calls,
            host: listen.calls.ip(),
            link: listen.link,
            name: checked.node,
            locality: locality.clone(),
            descriptors_max: None,
            process: None,
            program: programs.path(Program::Cicadagw),
            settings: path,
        })
    }

    /// Starts the process; its log goes into `dir`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn start(&mut self, dir: &Path) -> io::Result<()> {
        let mut command = match self.descriptors_max {
            Some(limit) => with_descriptors_max(limit, &self.program),
            None => Command::new(&self.program),
        };
        command.arg("run").arg(&self.settings);
        let process = Process::start(self.name.as_str(), &mut command, dir)?;
        self.process = Some(process);
        Ok(())
    }

    /// Requests the admin page `path` until the response has status 200, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails if `wait` has elapsed; the error holds the last lines of the node's log.
    pub fn wait_until_ok(&self, path: &str, wait: Span) -> io::Result<()> {
        let outcome = http::block_on(http::wait_until_ok(self.admin, path, wait));
        outcome.map_err(|error| {
            let tail = self.process.as_ref().map(Process::log_tail);
            let tail = tail.unwrap_or_default();
            io::Error::other(format!("{}: {error}\n{tail}", self.name))
        })
    }
}

/// Returns a command that runs `program` with at most `limit` file descriptors.
fn with_descriptors_max(limit: u32, program: &Path) -> Command {
    let mut command = Command::new("sh");
    command
        .args(["-c", "ulimit -n \"$0\" && exec \"$@\""])
        .arg(limit.to_string())
        .arg(program);
    command
}

/// Returns the settings of node `number`, counted from 0, of its failure domain. The addresses of
/// the platform are left to the overrides.
fn settings(locality: &Locality, number: usize, listen: &Addresses, seeds: &[SocketAddr]) -> Value {
    let domain = &locality.domain;
    let seeds: Vec<_> = seeds
        .iter()
        .filter(|seed| **seed != listen.link)
        .take(4)
        .collect();
    json!({
        "node": format!("{domain}-{}", number + 1),
        "domain": domain,
        "region": locality.region,
        "rack": format!("{domain}-rack-{}", number / NODES_PER_RACK + 1),
        "calls": listen.calls,
        "link": listen.link,
        "announce": listen.announce,
        "admin": listen.admin,
        "seeds": seeds,
    })
}

/// Sets the top-level keys of `overrides` in `settings`.
fn merge(settings: &mut Value, overrides: &Value) {
    if let (Value::Object(settings), Value::Object(overrides)) = (settings, overrides) {
        settings.extend(overrides.clone());
    }
}
