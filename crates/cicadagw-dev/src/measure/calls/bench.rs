//! The processes that are measured.

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

/// How long a process may take to start, to end, or to take a configuration.
pub(crate) const PATIENCE: Span = Span::seconds(30);

/// The path that goes to the backend servers.
pub(crate) const PATH: &str = "/orders";

/// What the backend servers are like.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    /// The slots and the connections that they announce.
    pub(crate) announced: u32,
    /// How many calls one really runs at once; all when absent.
    pub(crate) workers: Option<u32>,
    /// How long a call takes.
    pub(crate) work: Span,
}

/// All processes of one measurement; they end when this is dropped.
pub(crate) struct Bench {
    pub(crate) backends: Vec<Backend>,
    pub(crate) fleet: Fleet,
    pub(crate) operator: Operator,
    pub(crate) scratch: ScratchDir,
    kind: Kind,
    programs: Programs,
    started: usize,
    _platform: Process,
}

/// A backend server.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    name: String,
    process: Process,
}

impl Bench {
    /// Starts `nodes` nodes of one failure domain and a backend server on each of the hosts of the
    /// nodes in `hosts`, and puts `configuration` in force.
    pub(crate) fn start(
        nodes: usize,
        hosts: &[usize],
        kind: Kind,
        configuration: &str,
    ) -> io::Result<Self> {
        let programs = Programs::find()?;
        let scratch = ScratchDir::new()?;
        let folder = scratch.path();
        let mut command = Command::new(programs.path(Program::Platform));
        command.arg("127.0.0.1:0");
        let (process, platform) = Process::start_server("platform", &mut command, folder)?;
        let more = json!({ "platform": [platform] });
        let mut fleet = Fleet::new(&programs, folder, &[place()?], nodes, &more)?;
        fleet.start(folder)?;
        for node in &fleet.nodes {
            node.wait_until_ok("/live", PATIENCE)?;
        }
        let mut bench = Self {
            backends: Vec::new(),
            fleet,
            operator: Operator::new(&programs, "asha", platform),
            scratch,
            kind,
            programs,
            started: 0,
            _platform: process,
        };
        for host in hosts {
            let backend = bench.start_backend(*host)?;
            bench.backends.push(backend);
        }
        bench.apply("first.jsonc", configuration)?;
        bench.reach()?;
        Ok(bench)
    }

    /// Starts a backend server on the host of node `host`.
    pub(crate) fn start_backend(&mut self, host: usize) -> io::Result<Backend> {
        self.started += 1;
        let name = format!("orders-{}", self.started);
        let node = &self.fleet.nodes[host];
        let kind = self.kind;
        let mut command = Command::new(self.programs.path(Program::Backend));
        command
            .arg(SocketAddr::new(node.host, 0).to_string())
            .arg("orders")
            .args(["--announce", &node.announce.to_string()])
            .args(["--number", &self.started.to_string()])
            .args(["--slots", &kind.announced.to_string()])
            .args(["--connections", &kind.announced.to_string()])
            .args(["--work", &kind.work.to_string()])
            .arg("--journal")
            .arg(self.scratch.path().join(format!("{name}.journal")));
        if let Some(workers) = kind.workers {
            command.args(["--workers", &workers.to_string()]);
        }
        let folder = self.scratch.path();
        let (process, address) = Process::start_server(&name, &mut command, folder)?;
        Ok(Backend {
            address,
            name,
            process,
        })
    }

    /// Has `cicadactl` apply `configuration`.
    pub(crate) fn apply(&self, name: &str, configuration: &str) -> io::Result<()> {
        let path = self.scratch.write(name, configuration)?;
        let text = path.to_string_lossy();
        self.operator.run(&["apply", &text]).map(drop)
    }

    /// Waits until every node carries calls.
    pub(crate) fn reach(&self) -> io::Result<()> {
        for node in &self.fleet.nodes {
            let outcome = block_on(wait_until_ok(node.calls, PATH, PATIENCE));
            outcome.map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Returns where the nodes take calls.
    pub(crate) fn calls(&self) -> Vec<SocketAddr> {
        self.fleet.nodes.iter().map(|node| node.calls).collect()
    }

    /// Returns the process ids of the nodes.
    pub(crate) fn pids(&self) -> Vec<u32> {
        let processes = self.fleet.nodes.iter();
        let processes = processes.filter_map(|node| node.process.as_ref());
        processes.map(Process::pid).collect()
    }

    /// Returns the processor time that all nodes have had, in microseconds.
    pub(crate) fn processor_us(&self) -> io::Result<u64> {
        self.pids().into_iter().map(usage::processor_us).sum()
    }

    /// Asks `backend` to end, and returns where its journal is.
    pub(crate) fn end_backend(&self, mut backend: Backend) -> io::Result<PathBuf> {
        backend.process.terminate(PATIENCE)?;
        let name = format!("{}.journal", backend.name);
        Ok(self.scratch.path().join(name))
    }

    /// Ends node `index` and starts it again.
    pub(crate) fn restart(&mut self, index: usize) -> io::Result<()> {
        let folder = self.scratch.path();
        let node: &mut Node = &mut self.fleet.nodes[index];
        if let Some(mut process) = node.process.take() {
            process.terminate(PATIENCE)?;
        }
        node.start(folder)?;
        node.wait_until_ok("/ready", PATIENCE)
    }
}

/// Returns a configuration whose calls are treated by `policy`; `number` makes it differ.
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

fn place() -> io::Result<Locality> {
    let region: id::Region = "kochi".parse().map_err(io::Error::other)?;
    let domain: id::Domain = "kochi-a".parse().map_err(io::Error::other)?;
    Ok(Locality { region, domain })
}
