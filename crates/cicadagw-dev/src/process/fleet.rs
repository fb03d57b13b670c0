//! Nodes, each a process with its own loopback address.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;

use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use serde_json::{Value, json};

use super::place::{Addresses, host};
use super::{Locality, Process, Program, Programs};
use crate::http;

/// How many nodes share a rack.
const RACK: usize = 4;

/// Nodes of several failure domains.
#[derive(Debug)]
pub struct Fleet {
    /// All nodes, failure domain by failure domain.
    pub nodes: Vec<Node>,
}

/// A node, which may run or not.
#[derive(Debug)]
pub struct Node {
    /// Where its admin pages are.
    pub admin: SocketAddr,
    /// Where backend servers of its host announce themselves.
    pub announce: SocketAddr,
    /// Where it takes calls.
    pub calls: SocketAddr,
    /// Its loopback address, which its backend servers share.
    pub host: IpAddr,
    /// Its name.
    pub name: id::Node,
    /// Where it stands.
    pub locality: Locality,
    /// Its process, when it runs.
    pub process: Option<Process>,
    program: PathBuf,
    settings: PathBuf,
}

impl Fleet {
    /// Writes the settings of `count` nodes in each of `places` into `folder`; `more` is merged
    /// into every node's settings.
    ///
    /// # Errors
    ///
    /// When a port cannot be found, or the settings are not good.
    pub fn new(
        programs: &Programs,
        folder: &Path,
        places: &[Locality],
        count: usize,
        more: &Value,
    ) -> io::Result<Self> {
        let mut nodes = Vec::new();
        for place in places {
            let mut addresses = Vec::new();
            for _ in 0..count {
                addresses.push(Addresses::free(host())?);
            }
            let seeds: Vec<SocketAddr> = addresses.iter().map(|own| own.link).collect();
            for (number, own) in addresses.iter().enumerate() {
                let mut settings = settings(place, number, own, &seeds);
                merge(&mut settings, more);
                nodes.push(Node::new(programs, folder, place, own, &settings)?);
            }
        }
        Ok(Self { nodes })
    }

    /// Starts every node that does not run.
    ///
    /// # Errors
    ///
    /// When one cannot be started.
    pub fn start(&mut self, folder: &Path) -> io::Result<()> {
        let stopped = self.nodes.iter_mut().filter(|node| node.process.is_none());
        for node in stopped {
            node.start(folder)?;
        }
        Ok(())
    }

    /// Returns the first node of the failure domain `domain`.
    pub fn first_of(&self, domain: &id::Domain) -> Option<&Node> {
        let mut nodes = self.nodes.iter();
        nodes.find(|node| node.locality.domain == *domain)
    }
}

impl Node {
    fn new(
        programs: &Programs,
        folder: &Path,
        place: &Locality,
        own: &Addresses,
        settings: &Value,
    ) -> io::Result<Self> {
        let text = serde_json::to_string_pretty(settings)?;
        let checked = cicadagw_settings::load("settings of a node", &text);
        let checked = checked.map_err(|findings| io::Error::other(findings.to_string()))?;
        let path = folder.join(format!("{}.jsonc", checked.node));
        fs::write(&path, &text)?;
        Ok(Self {
            admin: own.admin,
            announce: own.announce,
            calls: own.calls,
            host: own.calls.ip(),
            name: checked.node,
            locality: place.clone(),
            process: None,
            program: programs.path(Program::Cicadagw),
            settings: path,
        })
    }

    /// Starts the node; its log goes into `folder`.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
    pub fn start(&mut self, folder: &Path) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.arg("run").arg(&self.settings);
        let process = Process::start(self.name.as_str(), &mut command, folder)?;
        self.process = Some(process);
        Ok(())
    }

    /// Waits at most `wait` until the page `path` of the node answers with status 200.
    ///
    /// # Errors
    ///
    /// When it does not, with the last lines of the node's log.
    pub fn wait_until_ok(&self, path: &str, wait: Span) -> io::Result<()> {
        let outcome = http::block_on(http::wait_until_ok(self.admin, path, wait));
        outcome.map_err(|error| {
            let tail = self.process.as_ref().map(Process::log_tail);
            let tail = tail.unwrap_or_default();
            io::Error::other(format!("{}: {error}\n{tail}", self.name))
        })
    }
}

/// Returns the settings of node `number` of its failure domain, without the platform's addresses.
fn settings(place: &Locality, number: usize, own: &Addresses, seeds: &[SocketAddr]) -> Value {
    let domain = &place.domain;
    let seeds: Vec<_> = seeds
        .iter()
        .filter(|seed| **seed != own.link)
        .take(4)
        .collect();
    json!({
        "node": format!("{domain}-{}", number + 1),
        "domain": domain,
        "region": place.region,
        "rack": format!("{domain}-rack-{}", number / RACK + 1),
        "calls": own.calls,
        "link": own.link,
        "announce": own.announce,
        "admin": own.admin,
        "seeds": seeds,
    })
}

fn merge(settings: &mut Value, more: &Value) {
    if let (Value::Object(settings), Value::Object(more)) = (settings, more) {
        settings.extend(more.clone());
    }
}
