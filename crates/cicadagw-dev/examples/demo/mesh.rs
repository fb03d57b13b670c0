//! The processes of the demo.

use std::io;
use std::net::SocketAddr;
use std::process::Command;

use cicadagw_dev::http::{block_on, get_json};
use cicadagw_dev::process::{
    Fleet, Locality, Metrics, Node, Operator, Process, Program, Programs, ScratchDir,
};
use cicadagw_dev::{backend, platform};
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;
use serde_json::json;

/// The regions and failure domains.
const PLACES: [(&str, &str); 2] = [("kochi", "kochi-a"), ("kozhikode", "kozhikode-a")];

/// How many nodes each failure domain has.
const NODES: usize = 2;

/// Which service stands on which node's host.
const BACKENDS: [(&str, usize); 3] = [("catalogue", 0), ("media", 1), ("orders", 2)];

/// How long a process may take to start or to end.
const PATIENCE: Span = Span::seconds(15);

/// All processes but `cicadactl`; they end when this is dropped.
pub(crate) struct Mesh {
    pub(crate) operator: Operator,
    pub(crate) fleet: Fleet,
    backends: Vec<Backend>,
    platform: SocketAddr,
    /// Keeps the platform running; dropped last.
    _platform: Process,
}

/// A backend server and where it answers.
pub(crate) struct Backend {
    pub(crate) service: &'static str,
    pub(crate) address: SocketAddr,
    process: Process,
}

/// Bytes sent from node to node.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sent {
    pub(crate) all: Bytes,
    pub(crate) across: Bytes,
}

impl Mesh {
    /// Starts the platform, the nodes and the backend servers.
    pub(crate) fn start(scratch: &ScratchDir) -> io::Result<Self> {
        let programs = Programs::find()?;
        let folder = scratch.path();
        let mut command = Command::new(programs.path(Program::Platform));
        command.arg("127.0.0.1:0");
        let (process, platform) = Process::start_server("platform", &mut command, folder)?;
        let more = json!({ "platform": [platform] });
        let mut fleet = Fleet::new(&programs, folder, &places()?, NODES, &more)?;
        fleet.start(folder)?;
        for node in &fleet.nodes {
            node.wait_until_ok("/live", PATIENCE)?;
        }
        let mut backends = Vec::new();
        for (service, index) in BACKENDS {
            let node = &fleet.nodes[index];
            backends.push(Backend::start(&programs, scratch, service, node)?);
        }
        Ok(Self {
            operator: Operator::new(&programs, "asha", platform),
            fleet,
            backends,
            platform,
            _platform: process,
        })
    }

    /// Returns the backend server of `service`.
    pub(crate) fn backend(&self, service: &str) -> io::Result<&Backend> {
        let mut backends = self.backends.iter();
        let backend = backends.find(|backend| backend.service == service);
        backend.ok_or_else(|| io::Error::other(format!("no backend server of {service}")))
    }

    /// Returns how many calls the platform has had.
    pub(crate) fn platform_calls(&self) -> io::Result<u64> {
        let stats = block_on(get_json::<platform::Stats>(self.platform, "/stats"));
        Ok(stats.map_err(io::Error::other)?.calls.total())
    }

    /// Returns how many bytes the nodes have sent to each other.
    pub(crate) fn sent(&self) -> io::Result<Sent> {
        let mut sent = Sent::default();
        for node in &self.fleet.nodes {
            let meters = block_on(Metrics::read(node.admin)).map_err(io::Error::other)?;
            sent.all = sent.all.plus(meters.sent);
            sent.across = sent.across.plus(meters.across_regions);
        }
        Ok(sent)
    }

    /// Asks backend servers and then nodes to end, and checks that they end well.
    pub(crate) fn stop(mut self) -> io::Result<()> {
        for backend in &mut self.backends {
            end(&mut backend.process)?;
        }
        let nodes = self.fleet.nodes.iter_mut();
        for process in nodes.filter_map(|node| node.process.as_mut()) {
            end(process)?;
        }
        Ok(())
    }
}

impl Backend {
    fn start(
        programs: &Programs,
        scratch: &ScratchDir,
        service: &'static str,
        node: &Node,
    ) -> io::Result<Self> {
        let mut command = Command::new(programs.path(Program::Backend));
        command
            .arg(SocketAddr::new(node.host, 0).to_string())
            .arg(service)
            .args(["--announce", &node.announce.to_string()])
            .args(["--work", "2ms"]);
        let (process, address) = Process::start_server(service, &mut command, scratch.path())?;
        Ok(Self {
            service,
            address,
            process,
        })
    }

    /// Returns what it has seen.
    pub(crate) fn stats(&self) -> io::Result<backend::Stats> {
        block_on(get_json(self.address, "/stats")).map_err(io::Error::other)
    }
}

fn places() -> io::Result<Vec<Locality>> {
    let place = |(region, domain): (&str, &str)| -> Result<Locality, cicadagw_unit::Error> {
        Ok(Locality {
            region: region.parse()?,
            domain: domain.parse()?,
        })
    };
    let places: Result<_, _> = PLACES.into_iter().map(place).collect();
    places.map_err(io::Error::other)
}

/// Asks a process to end, and checks that it ends well.
fn end(process: &mut Process) -> io::Result<()> {
    let status = process.terminate(PATIENCE)?;
    if status.success() {
        return Ok(());
    }
    let reason = format!(
        "{} ended with {status}\n{}",
        process.name(),
        process.log_tail()
    );
    Err(io::Error::other(reason))
}
