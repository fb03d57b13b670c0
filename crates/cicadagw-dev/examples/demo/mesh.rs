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

/// The regions, each with its failure domain.
const LOCALITIES: [(&str, &str); 2] = [("kochi", "kochi-a"), ("kozhikode", "kozhikode-a")];

/// The number of nodes in each failure domain.
const NODES_PER_DOMAIN: usize = 2;

/// The service of each backend server, and the number of the node whose host it runs on.
const BACKENDS: [(&str, usize); 3] = [("catalogue", 0), ("media", 1), ("orders", 2)];

/// The timeout for a process to start or exit.
const PROCESS_TIMEOUT: Span = Span::seconds(15);

/// All processes except `cicadactl`; they end when this is dropped.
pub(crate) struct Mesh {
    pub(crate) operator: Operator,
    pub(crate) fleet: Fleet,
    backends: Vec<Backend>,
    platform: SocketAddr,
    /// Keeps the platform running; dropped last.
    _platform: Process,
}

/// A backend server.
pub(crate) struct Backend {
    pub(crate) service: &'static str,
    /// The listen address for calls.
    pub(crate) address: SocketAddr,
    process: Process,
}

/// The bytes that nodes have sent to each other.
#[derive(Clone, Copy, Default)]
pub(crate) struct Sent {
    pub(crate) all: Bytes,
    /// The part of them sent to another region.
    pub(crate) across_regions: Bytes,
}

impl Mesh {
    /// Starts the platform, the nodes and the backend servers.
    pub(crate) fn start(scratch: &ScratchDir) -> io::Result<Self> {
        let programs = Programs::find()?;
        let dir = scratch.path();
        let mut command = Command::new(programs.path(Program::Platform));
        command.arg("127.0.0.1:0");
        let (process, platform) = Process::start_server("platform", &mut command, dir)?;
        let settings = json!({ "platform": [platform] });
        let mut fleet = Fleet::new(&programs, dir, &localities()?, NODES_PER_DOMAIN, &settings)?;
        fleet.start(dir)?;
        for node in &fleet.nodes {
            node.wait_until_ok("/live", PROCESS_TIMEOUT)?;
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
        backend
            .ok_or_else(|| io::Error::other(format!("the demo has no backend server of {service}")))
    }

    /// Returns the number of calls that the platform has received.
    pub(crate) fn platform_calls(&self) -> io::Result<u64> {
        let stats = block_on(get_json::<platform::Stats>(self.platform, "/stats"));
        Ok(stats.map_err(io::Error::other)?.calls.total())
    }

    /// Returns the bytes that the nodes have sent to each other since their start.
    pub(crate) fn sent(&self) -> io::Result<Sent> {
        let mut sent = Sent::default();
        for node in &self.fleet.nodes {
            let metrics = block_on(Metrics::read(node.admin)).map_err(io::Error::other)?;
            sent.all = sent.all.plus(metrics.sent);
            sent.across_regions = sent.across_regions.plus(metrics.across_regions);
        }
        Ok(sent)
    }

    /// Terminates the backend servers and then the nodes with SIGTERM, and checks that each exits
    /// successfully.
    pub(crate) fn stop(mut self) -> io::Result<()> {
        for backend in &mut self.backends {
            terminate(&mut backend.process)?;
        }
        let nodes = self.fleet.nodes.iter_mut();
        for process in nodes.filter_map(|node| node.process.as_mut()) {
            terminate(process)?;
        }
        Ok(())
    }
}

impl Backend {
    /// Starts a backend server of `service` on the host of `node`.
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

    /// Requests the statistics of the backend server.
    pub(crate) fn stats(&self) -> io::Result<backend::Stats> {
        block_on(get_json(self.address, "/stats")).map_err(io::Error::other)
    }
}

/// Returns the regions and failure domains as localities.
fn localities() -> io::Result<Vec<Locality>> {
    let locality = |(region, domain): (&str, &str)| -> Result<Locality, cicadagw_unit::Error> {
        Ok(Locality {
            region: region.parse()?,
            domain: domain.parse()?,
        })
    };
    let localities: Result<_, _> = LOCALITIES.into_iter().map(locality).collect();
    localities.map_err(io::Error::other)
}

/// Terminates a process with SIGTERM, and checks that it exits successfully.
fn terminate(process: &mut Process) -> io::Result<()> {
    let status = process.terminate(PROCESS_TIMEOUT)?;
    if status.success() {
        return Ok(());
    }
    let reason = format!(
        "{} exited with {status}\n{}",
        process.name(),
        process.log_tail()
    );
    Err(io::Error::other(reason))
}
