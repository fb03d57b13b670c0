//! The nodes, backend servers and platform that are measured, as processes of this machine.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use serde_json::json;

use super::usage;
use crate::http::{block_on, wait_until_ok};
use crate::process::{Fleet, Locality, Node, Operator, Process, Program, Programs, ScratchDir};

/// The timeout for a process to start or exit, and for calls to be served by a new configuration.
pub(crate) const PROCESS_TIMEOUT: Span = Span::seconds(30);

/// The path that is routed to the backend servers.
pub(crate) const PATH: &str = "/orders";

/// The options of the backend servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendOptions {
    /// The number of slots, and of connections, that each server announces.
    pub(crate) announced: u32,
    /// The number of calls that each server executes concurrently, which may differ from the
    /// announced slots; unlimited if `None`.
    pub(crate) workers: Option<u32>,
    /// The execution time of a call.
    pub(crate) work: Span,
}

/// The processes of one measurement, in one failure domain; they end when this is dropped.
pub(crate) struct Testbed {
    pub(crate) backends: Vec<Backend>,
    pub(crate) fleet: Fleet,
    pub(crate) operator: Operator,
    pub(crate) scratch: ScratchDir,
    options: BackendOptions,
    programs: Programs,
    /// The number of backend servers started so far.
    started: usize,
    _platform: Process,
}

/// A running backend server.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    name: String,
    process: Process,
}

impl Testbed {
    /// Starts the platform, `nodes` nodes in one failure domain, and a backend server on the host of
    /// each node numbered in `hosts`; applies `configuration` and waits until calls are served.
    pub(crate) fn start(
        nodes: usize,
        hosts: &[usize],
        options: BackendOptions,
        configuration: &str,
    ) -> io::Result<Self> {
        let programs = Programs::find()?;
        let scratch = ScratchDir::new()?;
        let dir = scratch.path();
        let mut command = Command::new(programs.path(Program::Platform));
        command.arg("127.0.0.1:0");
        let (process, platform) = Process::start_server("platform", &mut command, dir)?;
        let settings = json!({ "platform": [platform] });
        let mut fleet = Fleet::new(&programs, dir, &[locality()?], nodes, &settings)?;
        fleet.start(dir)?;
        for node in &fleet.nodes {
            node.wait_until_ok("/live", PROCESS_TIMEOUT)?;
        }
        let mut testbed = Self {
            backends: Vec::new(),
            fleet,
            operator: Operator::new(&programs, "asha", platform),
            scratch,
            options,
            programs,
            started: 0,
            _platform: process,
        };
        for host in hosts {
            let backend = testbed.start_backend(*host)?;
            testbed.backends.push(backend);
        }
        testbed.apply("first.jsonc", configuration)?;
        testbed.wait_until_served()?;
        Ok(testbed)
    }

    /// Starts one more backend server on the host of node `host`, with a journal of its own.
    pub(crate) fn start_backend(&mut self, host: usize) -> io::Result<Backend> {
        self.started += 1;
        let name = format!("orders-{}", self.started);
        let node = &self.fleet.nodes[host];
        let options = self.options;
        let mut command = Command::new(self.programs.path(Program::Backend));
        command
            .arg(SocketAddr::new(node.host, 0).to_string())
            .arg("orders")
            .args(["--announce", &node.announce.to_string()])
            .args(["--number", &self.started.to_string()])
            .args(["--slots", &options.announced.to_string()])
            .args(["--connections", &options.announced.to_string()])
            .args(["--work", &options.work.to_string()])
            .arg("--journal")
            .arg(self.scratch.path().join(format!("{name}.journal")));
        if let Some(workers) = options.workers {
            command.args(["--workers", &workers.to_string()]);
        }
        let dir = self.scratch.path();
        let (process, address) = Process::start_server(&name, &mut command, dir)?;
        Ok(Backend {
            address,
            name,
            process,
        })
    }

    /// Writes `configuration` to the file `name` and applies it with `cicadactl`.
    pub(crate) fn apply(&self, name: &str, configuration: &str) -> io::Result<()> {
        let path = self.scratch.write(name, configuration)?;
        let text = path.to_string_lossy();
        self.operator.run(&["apply", &text]).map(drop)
    }

    /// Waits until every node serves calls.
    pub(crate) fn wait_until_served(&self) -> io::Result<()> {
        for node in &self.fleet.nodes {
            let outcome = block_on(wait_until_ok(node.calls, PATH, PROCESS_TIMEOUT));
            outcome.map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Returns the listen address for calls of every node.
    pub(crate) fn calls(&self) -> Vec<SocketAddr> {
        self.fleet.nodes.iter().map(|node| node.calls).collect()
    }

    /// Returns the process ids of the nodes.
    pub(crate) fn pids(&self) -> Vec<u32> {
        let processes = self.fleet.nodes.iter();
        let processes = processes.filter_map(|node| node.process.as_ref());
        processes.map(Process::pid).collect()
    }

    /// Returns the CPU time of all nodes since their start, in microseconds.
    pub(crate) fn cpu_us(&self) -> io::Result<u64> {
        self.pids().into_iter().map(usage::cpu_us).sum()
    }

    /// Terminates `backend` with SIGTERM and waits for its exit; returns the path of its journal.
    pub(crate) fn end_backend(&self, mut backend: Backend) -> io::Result<PathBuf> {
        backend.process.terminate(PROCESS_TIMEOUT)?;
        let name = format!("{}.journal", backend.name);
        Ok(self.scratch.path().join(name))
    }

    /// Terminates node `index` with SIGTERM, starts it again and waits until it is ready.
    pub(crate) fn restart(&mut self, index: usize) -> io::Result<()> {
        let dir = self.scratch.path();
        let node: &mut Node = &mut self.fleet.nodes[index];
        if let Some(mut process) = node.process.take() {
            process.terminate(PROCESS_TIMEOUT)?;
        }
        node.start(dir)?;
        node.wait_until_ok("/ready", PROCESS_TIMEOUT)
    }
}

/// Returns a configuration in which `policy` applies to all calls; configurations with another
/// `number` differ in one unused route.
pub(crate) fn configuration(policy: &str, number: usize) -> String {
    format!(
        r#"{{
  "clusters": {{ "orders": {{ "service": "orders" }} }},
  "policies": {{ "standard": {policy} }},
  "presets": {{ "ordinary-day": {{}} }},
  "routes": {{
    "orders": {{ "prefix": "{PATH}", "cluster": "orders", "policy": "standard" }},
    "other-{number}": {{ "prefix": "/other-{number}", "cluster": "orders", "policy": "standard" }},
  }},
}}"#
    )
}

/// Returns the region and failure domain of all nodes.
fn locality() -> io::Result<Locality> {
    let region: id::Region = "kochi".parse().map_err(io::Error::other)?;
    let domain: id::Domain = "kochi-a".parse().map_err(io::Error::other)?;
    Ok(Locality { region, domain })
}
