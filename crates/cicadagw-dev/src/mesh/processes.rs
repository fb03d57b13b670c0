//! The processes of a mesh.

use std::io;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use cicadagw_unit::time::Span;
use cicadagw_unit::{Version, id};
use serde_json::{Value, json};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use super::{Backend, Journal};
use crate::http::{block_on, get_json, post, wait_until_ok};
use crate::platform::{Change, Stats};
use crate::process::{
    Fleet, Locality, Node, Operator, Process, Program, Programs, ScratchDir, Signal,
};

/// How long a state is awaited; it only guards against waiting for ever.
pub const PATIENCE: Span = Span::seconds(30);

/// How often a state is looked at.
const POLL: Duration = Duration::from_millis(20);

/// A platform, nodes and backend servers, each a process; they end when this is dropped.
#[derive(Debug)]
pub struct Mesh {
    /// The backend servers.
    pub backends: Vec<Backend>,
    /// The nodes.
    pub fleet: Fleet,
    /// Where the platform answers.
    pub platform: SocketAddr,
    /// Where the programs are.
    pub programs: Programs,
    /// Keeps the platform running.
    platform_process: Process,
    /// Holds settings and logs; dropped last.
    scratch: ScratchDir,
}

impl Mesh {
    /// Starts a platform and `count` nodes in each failure domain of `places`, each a region and a
    /// failure domain; `timing` is that of every node's settings.
    ///
    /// # Errors
    ///
    /// When a process does not start.
    pub fn start(
        programs: &Programs,
        places: &[(&str, &str)],
        count: usize,
        timing: &Value,
    ) -> io::Result<Self> {
        let scratch = ScratchDir::new()?;
        let folder = scratch.path();
        let mut command = Command::new(programs.path(Program::Platform));
        command.arg("127.0.0.1:0");
        let (process, platform) = Process::start_server("platform", &mut command, folder)?;
        let more = json!({ "platform": [platform], "timing": timing });
        let places = places.iter().map(place).collect::<io::Result<Vec<_>>>()?;
        let mut fleet = Fleet::new(programs, folder, &places, count, &more)?;
        fleet.start(folder)?;
        for node in &fleet.nodes {
            node.wait_until_ok("/live", PATIENCE)?;
        }
        Ok(Self {
            backends: Vec::new(),
            fleet,
            platform,
            programs: programs.clone(),
            platform_process: process,
            scratch,
        })
    }

    /// Starts a backend server of `service` on the host of node `index`, and returns its index.
    ///
    /// # Errors
    ///
    /// When it does not start.
    pub fn add_backend(
        &mut self,
        service: &'static str,
        index: usize,
        arguments: &[&str],
    ) -> io::Result<usize> {
        let node = &self.fleet.nodes[index];
        let folder = self.scratch.path();
        let backend = Backend::start(&self.programs, folder, service, node, arguments)?;
        self.backends.push(backend);
        Ok(self.backends.len() - 1)
    }

    /// Starts every node that does not run.
    ///
    /// # Errors
    ///
    /// When one does not start.
    pub fn start_nodes(&mut self) -> io::Result<()> {
        self.fleet.start(self.scratch.path())
    }

    /// Returns an operator called `name`.
    pub fn operator(&self, name: &str) -> Operator {
        Operator::new(&self.programs, name, self.platform)
    }

    /// Writes a file for operators, and returns its path.
    ///
    /// # Errors
    ///
    /// When it cannot be written.
    pub fn file(&self, name: &str, text: &str) -> io::Result<String> {
        let path = self.scratch.write(name, text)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Keeps settings and logs, and returns where they are.
    pub fn keep(&mut self) -> String {
        self.scratch.keep();
        self.scratch.path().display().to_string()
    }

    /// Returns where every node takes calls.
    pub fn calls(&self) -> Vec<SocketAddr> {
        self.fleet.nodes.iter().map(|node| node.calls).collect()
    }

    /// Changes what goes wrong at the platform.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub fn control(&self, change: &Change) -> io::Result<()> {
        let answer = block_on(post(self.platform, "/control", change));
        answer.map(drop).map_err(io::Error::other)
    }

    /// Returns what the platform has seen.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub fn stats(&self) -> io::Result<Stats> {
        block_on(get_json(self.platform, "/stats")).map_err(io::Error::other)
    }

    /// Reads which requests ran.
    ///
    /// # Errors
    ///
    /// When a journal cannot be read.
    pub fn journal(&self) -> io::Result<Journal> {
        let paths = self.backends.iter().map(|backend| backend.journal.clone());
        Journal::read(&paths.collect::<Vec<_>>())
    }

    /// Waits until the dump of every running node satisfies `condition`, named `what`.
    ///
    /// # Errors
    ///
    /// When the patience is over, with the dumps that do not.
    pub fn until(&self, what: &str, condition: impl Fn(&Value) -> bool) -> io::Result<()> {
        let running = |node: &&Node| node.process.is_some();
        self.until_at(self.fleet.nodes.iter().filter(running), what, condition)
    }

    /// Waits until the dump of each of `nodes` satisfies `condition`, named `what`.
    ///
    /// # Errors
    ///
    /// When the patience is over, with the first dump that does not.
    pub fn until_at<'n>(
        &self,
        nodes: impl IntoIterator<Item = &'n Node>,
        what: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> io::Result<()> {
        let end = Instant::now() + PATIENCE.into();
        for node in nodes {
            block_on(until_dump(node, end, &condition))
                .map_err(|dump| io::Error::other(format!("{}: not {what}: {dump}", node.name)))?;
        }
        Ok(())
    }

    /// Waits until every running node holds `version` or a newer one.
    ///
    /// # Errors
    ///
    /// As [`Mesh::until`].
    pub fn until_held(&self, version: Version) -> io::Result<()> {
        self.until(&format!("at version {version}"), |dump| {
            held(dump) >= version
        })
    }

    /// Waits until a call for `path` at every running node is answered.
    ///
    /// # Errors
    ///
    /// When the patience is over.
    pub fn until_answered(&self, path: &str) -> io::Result<()> {
        for node in self
            .fleet
            .nodes
            .iter()
            .filter(|node| node.process.is_some())
        {
            let answered = block_on(wait_until_ok(node.calls, path, PATIENCE));
            answered.map_err(|error| io::Error::other(format!("{}: {error}", node.name)))?;
        }
        Ok(())
    }

    /// Waits for a node that holds the lease of `rank`, and returns its index.
    ///
    /// # Errors
    ///
    /// When the patience is over.
    pub fn until_root(&self, rank: &str) -> io::Result<usize> {
        block_on(async {
            let end = Instant::now() + PATIENCE.into();
            let mut ticks = interval(POLL);
            while timeout_at(end, ticks.tick()).await.is_ok() {
                for (index, node) in self.fleet.nodes.iter().enumerate() {
                    let dump = get_json::<Value>(node.admin, "/dump").await;
                    if dump.is_ok_and(|dump| dump["leases"][rank] == "held") {
                        return Ok(index);
                    }
                }
            }
            Err(io::Error::other(format!("no root of the {rank}")))
        })
    }

    /// Asks all backend servers and then all nodes to end, and checks that they end well.
    ///
    /// # Errors
    ///
    /// When one does not.
    pub fn stop(mut self) -> io::Result<()> {
        let backends = self.backends.iter_mut();
        end(backends.map(|backend| &mut backend.process).collect())?;
        let nodes = self.fleet.nodes.iter_mut();
        end(nodes.filter_map(|node| node.process.as_mut()).collect())?;
        self.platform_process.kill()
    }
}

/// Asks all of `processes` to end at once, and checks that they end well.
fn end(mut processes: Vec<&mut Process>) -> io::Result<()> {
    for process in &mut processes {
        if process.wait(Span::default()).is_none() {
            process.signal(Signal::Terminate)?;
        }
    }
    for process in processes {
        let status = process.wait(PATIENCE);
        if !status.is_some_and(|status| status.success()) {
            let (name, tail) = (process.name(), process.log_tail());
            let status = status.map_or("nothing".to_owned(), |status| status.to_string());
            return Err(io::Error::other(format!(
                "{name} ended with {status}\n{tail}"
            )));
        }
    }
    Ok(())
}

/// Returns the version that a node holds, by its dump.
fn held(dump: &Value) -> Version {
    Version::new(dump["held"]["version"].as_u64().unwrap_or_default())
}

/// Waits until the dump of `node` satisfies `condition`; the error is what it showed last.
async fn until_dump(
    node: &Node,
    end: Instant,
    condition: &impl Fn(&Value) -> bool,
) -> Result<(), String> {
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = String::new();
    while timeout_at(end, ticks.tick()).await.is_ok() {
        match get_json::<Value>(node.admin, "/dump").await {
            Ok(dump) if condition(&dump) => return Ok(()),
            Ok(dump) => last = dump.to_string(),
            Err(error) => last = error.to_string(),
        }
    }
    Err(last)
}

fn place((region, domain): &(&str, &str)) -> io::Result<Locality> {
    let region: Result<id::Region, _> = region.parse();
    let domain: Result<id::Domain, _> = domain.parse();
    Ok(Locality {
        region: region.map_err(io::Error::other)?,
        domain: domain.map_err(io::Error::other)?,
    })
}
