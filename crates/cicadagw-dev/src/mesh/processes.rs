//! The processes of a mesh, and waits for the states that they reach.

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

/// The timeout of waits for a state. It only keeps a failing test from waiting forever.
pub const WAIT_TIMEOUT: Span = Span::seconds(30);

/// The interval at which the dump of a node is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fake platform, nodes and backend servers, each in its own process; dropping this kills them.
#[derive(Debug)]
pub struct Mesh {
    /// The backend servers, in the order in which they were added.
    pub backends: Vec<Backend>,
    /// The nodes, grouped by failure domain.
    pub fleet: Fleet,
    /// The listen address of the fake platform.
    pub platform: SocketAddr,
    /// The built programs.
    pub programs: Programs,
    /// The process of the fake platform, which runs until this is dropped.
    platform_process: Process,
    /// The directory of settings and logs. It is dropped last, after the processes that use it.
    scratch: ScratchDir,
}

impl Mesh {
    /// Starts a fake platform and `count` nodes in each of `localities`, which are pairs of region
    /// and failure domain. `timing` becomes the `timing` of every node's settings.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started, or a node does not become live.
    pub fn start(
        programs: &Programs,
        localities: &[(&str, &str)],
        count: usize,
        timing: &Value,
    ) -> io::Result<Self> {
        let scratch = ScratchDir::new()?;
        let dir = scratch.path();
        let mut command = Command::new(programs.path(Program::Platform));
        command.arg("127.0.0.1:0");
        let (process, platform) = Process::start_server("platform", &mut command, dir)?;
        let overrides = json!({ "platform": [platform], "timing": timing });
        let localities = localities
            .iter()
            .map(locality)
            .collect::<io::Result<Vec<_>>>()?;
        let mut fleet = Fleet::new(programs, dir, &localities, count, &overrides)?;
        fleet.start(dir)?;
        for node in &fleet.nodes {
            node.wait_until_ok("/live", WAIT_TIMEOUT)?;
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

    /// Starts a backend server of `service` on the host of node `index` and returns its index among
    /// [`Mesh::backends`].
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn add_backend(
        &mut self,
        service: &'static str,
        index: usize,
        arguments: &[&str],
    ) -> io::Result<usize> {
        let node = &self.fleet.nodes[index];
        let dir = self.scratch.path();
        let backend = Backend::start(&self.programs, dir, service, node, arguments)?;
        self.backends.push(backend);
        Ok(self.backends.len() - 1)
    }

    /// Starts every stopped node.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn start_nodes(&mut self) -> io::Result<()> {
        self.fleet.start(self.scratch.path())
    }

    /// Returns a runner of `cicadactl` for the operator `name`.
    pub fn operator(&self, name: &str) -> Operator {
        Operator::new(&self.programs, name, self.platform)
    }

    /// Writes a file for the command line of an operator and returns its path.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written.
    pub fn file(&self, name: &str, text: &str) -> io::Result<String> {
        let path = self.scratch.write(name, text)?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Keeps settings and logs after the drop of this, and returns the path of their directory.
    pub fn keep(&mut self) -> String {
        self.scratch.keep();
        self.scratch.path().display().to_string()
    }

    /// Returns the listen address for calls of every node.
    pub fn calls(&self) -> Vec<SocketAddr> {
        self.fleet.nodes.iter().map(|node| node.calls).collect()
    }

    /// Updates the injected faults of the fake platform.
    ///
    /// # Errors
    ///
    /// Fails if the request fails.
    pub fn control(&self, change: &Change) -> io::Result<()> {
        let response = block_on(post(self.platform, "/control", change));
        response.map(drop).map_err(io::Error::other)
    }

    /// Requests the statistics of the fake platform.
    ///
    /// # Errors
    ///
    /// Fails if the request fails.
    pub fn stats(&self) -> io::Result<Stats> {
        block_on(get_json(self.platform, "/stats")).map_err(io::Error::other)
    }

    /// Reads the journals of all backend servers.
    ///
    /// # Errors
    ///
    /// Fails if a journal cannot be read.
    pub fn journal(&self) -> io::Result<Journal> {
        let paths = self.backends.iter().map(|backend| backend.journal.clone());
        Journal::read(&paths.collect::<Vec<_>>())
    }

    /// Waits until the dump of every running node satisfies `condition`; `description` completes
    /// "node X is not" in the error.
    ///
    /// # Errors
    ///
    /// Fails if a node does not satisfy it within [`WAIT_TIMEOUT`]; the error holds its last dump.
    pub fn wait_until(
        &self,
        description: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> io::Result<()> {
        let running = |node: &&Node| node.process.is_some();
        self.wait_until_at(
            self.fleet.nodes.iter().filter(running),
            description,
            condition,
        )
    }

    /// Waits until the dump of each of `nodes` satisfies `condition`; `description` is as for
    /// [`Mesh::wait_until`].
    ///
    /// # Errors
    ///
    /// Fails as [`Mesh::wait_until`] does.
    pub fn wait_until_at<'n>(
        &self,
        nodes: impl IntoIterator<Item = &'n Node>,
        description: &str,
        condition: impl Fn(&Value) -> bool,
    ) -> io::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT.into();
        for node in nodes {
            block_on(wait_for_dump(node, end, &condition)).map_err(|dump| {
                io::Error::other(format!(
                    "node {} is not {description}; last dump: {dump}",
                    node.name
                ))
            })?;
        }
        Ok(())
    }

    /// Waits until every running node holds `version` or a newer one.
    ///
    /// # Errors
    ///
    /// Fails as [`Mesh::wait_until`] does.
    pub fn wait_for_version(&self, version: Version) -> io::Result<()> {
        self.wait_until(&format!("at version {version}"), |dump| {
            held_version(dump) >= version
        })
    }

    /// Waits until every running node answers a call for `path` with status 200.
    ///
    /// # Errors
    ///
    /// Fails if [`WAIT_TIMEOUT`] has elapsed.
    pub fn wait_until_answered(&self, path: &str) -> io::Result<()> {
        for node in self
            .fleet
            .nodes
            .iter()
            .filter(|node| node.process.is_some())
        {
            let outcome = block_on(wait_until_ok(node.calls, path, WAIT_TIMEOUT));
            outcome.map_err(|error| io::Error::other(format!("{}: {error}", node.name)))?;
        }
        Ok(())
    }

    /// Waits until a node holds the lease of `scope` (`fleet`, `region` or `domain`), that is,
    /// is the root of that scope, and returns its index.
    ///
    /// # Errors
    ///
    /// Fails if [`WAIT_TIMEOUT`] has elapsed.
    pub fn wait_for_root(&self, scope: &str) -> io::Result<usize> {
        block_on(async {
            let end = Instant::now() + WAIT_TIMEOUT.into();
            let mut ticks = interval(POLL_INTERVAL);
            while timeout_at(end, ticks.tick()).await.is_ok() {
                for (index, node) in self.fleet.nodes.iter().enumerate() {
                    let dump = get_json::<Value>(node.admin, "/dump").await;
                    if dump.is_ok_and(|dump| dump["leases"][scope] == "held") {
                        return Ok(index);
                    }
                }
            }
            Err(io::Error::other(format!(
                "no node holds the lease of scope {scope}"
            )))
        })
    }

    /// Shuts down all backend servers and then all nodes with SIGTERM, and checks that they exit
    /// successfully.
    ///
    /// # Errors
    ///
    /// Fails if a process does not exit successfully within [`WAIT_TIMEOUT`].
    pub fn stop(mut self) -> io::Result<()> {
        let backends = self.backends.iter_mut();
        terminate(backends.map(|backend| &mut backend.process).collect())?;
        let nodes = self.fleet.nodes.iter_mut();
        terminate(nodes.filter_map(|node| node.process.as_mut()).collect())?;
        self.platform_process.kill()
    }
}

/// Sends SIGTERM to all of `processes`, and checks that they exit successfully.
fn terminate(mut processes: Vec<&mut Process>) -> io::Result<()> {
    for process in &mut processes {
        if process.wait(Span::default()).is_none() {
            process.signal(Signal::Terminate)?;
        }
    }
    for process in processes {
        let status = process.wait(WAIT_TIMEOUT);
        if !status.is_some_and(|status| status.success()) {
            let (name, tail) = (process.name(), process.log_tail());
            let status = status.map_or("no exit status in time".to_owned(), |status| {
                status.to_string()
            });
            return Err(io::Error::other(format!(
                "process {name}: expected success, found {status}\n{tail}"
            )));
        }
    }
    Ok(())
}

/// Returns the configuration version that a dump says the node holds; version 0 if it holds none.
fn held_version(dump: &Value) -> Version {
    Version::new(dump["held"]["version"].as_u64().unwrap_or_default())
}

/// Polls the dump of `node` until it satisfies `condition`. At `end`, returns the last dump or
/// error.
async fn wait_for_dump(
    node: &Node,
    end: Instant,
    condition: &impl Fn(&Value) -> bool,
) -> Result<(), String> {
    let mut ticks = interval(POLL_INTERVAL);
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

/// Parses the names of a region and a failure domain.
fn locality((region, domain): &(&str, &str)) -> io::Result<Locality> {
    let region: Result<id::Region, _> = region.parse();
    let domain: Result<id::Domain, _> = domain.parse();
    Ok(Locality {
        region: region.map_err(io::Error::other)?,
        domain: domain.map_err(io::Error::other)?,
    })
}
