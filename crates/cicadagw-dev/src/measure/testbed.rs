//! The fleet and the platform that are measured, as processes of this machine.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;
use serde_json::json;

use super::announcers::Announcers;
use super::change::Operator;
use super::converge::Observer;
use super::role::{Dump, Role};
use crate::process::{Fleet, Locality, Node, Process, Program, Programs, ScratchDir};
use crate::{http, platform};

/// The timeout for the start of a node.
const START_TIMEOUT: Span = Span::seconds(30);

/// A fleet with a platform of its own and announced backend servers; all processes end when this is
/// dropped.
pub(crate) struct Testbed {
    pub(crate) observer: Observer,
    pub(crate) operator: Operator,
    pub(crate) fleet: Fleet,
    pub(crate) platform: Platform,
    _announcers: Announcers,
    scratch: ScratchDir,
}

/// The fake platform, in a process of its own.
pub(crate) struct Platform {
    pub(crate) address: SocketAddr,
    _process: Process,
}

/// The calls that the platform has received, and the bytes of their requests and responses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) calls: u64,
    pub(crate) bytes: Bytes,
}

impl Platform {
    /// Starts the process; its log goes into `dir`.
    pub(crate) fn start(programs: &Programs, dir: &Path) -> io::Result<Self> {
        let mut command = Command::new(programs.path(Program::Platform));
        command.arg("127.0.0.1:0");
        let (process, address) = Process::start_server("platform", &mut command, dir)?;
        Ok(Self {
            address,
            _process: process,
        })
    }

    /// Reads the load since the start.
    pub(crate) async fn load(&self) -> io::Result<Load> {
        let stats = http::get_json::<platform::Stats>(self.address, "/stats").await;
        let stats = stats.map_err(io::Error::other)?;
        Ok(Load {
            calls: stats.calls.total(),
            bytes: stats.received.plus(stats.sent),
        })
    }
}

impl Load {
    /// Returns the load since the reading `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        Self {
            calls: self.calls - earlier.calls,
            bytes: Bytes::new(self.bytes.get() - earlier.bytes.get()),
        }
    }
}

impl Testbed {
    /// Starts the platform and `count` nodes in each of `localities`, announces backend servers of
    /// `services` services, and waits until every node holds the first version.
    pub(crate) async fn start(
        programs: &Programs,
        localities: &[Locality],
        count: usize,
        services: usize,
    ) -> io::Result<Self> {
        let scratch = ScratchDir::new()?;
        let platform = Platform::start(programs, scratch.path())?;
        let settings = json!({ "platform": [platform.address] });
        let mut fleet = Fleet::new(programs, scratch.path(), localities, count, &settings)?;
        fleet.start(scratch.path())?;
        for node in &fleet.nodes {
            let live = http::wait_until_ok(node.admin, "/live", START_TIMEOUT).await;
            live.map_err(io::Error::other)?;
        }
        let mut operator = Operator::new(platform.address, services);
        let announcers = Announcers::start(&fleet.nodes, &operator.configuration().services()?)?;
        let observer = Observer::new();
        let accepted = operator.change().await?;
        observer
            .wait_for(&admins(&fleet.nodes), accepted.version)
            .await?;
        Ok(Self {
            observer,
            operator,
            fleet,
            platform,
            _announcers: announcers,
            scratch,
        })
    }

    /// Returns the admin addresses of all nodes.
    pub(crate) fn admins(&self) -> Vec<SocketAddr> {
        admins(&self.fleet.nodes)
    }

    /// Starts every node that is not running.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        self.fleet.start(self.scratch.path())
    }

    /// Returns the role of each node.
    pub(crate) async fn roles(&self) -> io::Result<Vec<Role>> {
        let dumps = self.dumps().await?;
        Ok(dumps.iter().map(Role::from).collect())
    }

    /// Reads the dump page of each node.
    pub(crate) async fn dumps(&self) -> io::Result<Vec<Dump>> {
        let mut dumps = Vec::new();
        for node in &self.fleet.nodes {
            let dump = http::get_json(node.admin, "/dump").await;
            dumps.push(dump.map_err(io::Error::other)?);
        }
        Ok(dumps)
    }
}

fn admins(nodes: &[Node]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.admin).collect()
}
