//! A mesh under a crowd of clients, and the bounds that its nodes keep.

use std::fs;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use cicadagw_dev::mesh::Mesh;
use cicadagw_dev::process::Programs;
use cicadagw_unit::time::Span;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::time::{interval, sleep, timeout};

use crate::members::{Crowd, Member};

/// The memory of the smallest host of a deployment, in bytes.
const HOST_MEMORY_BYTES: u64 = 88 << 20;

/// The maximum number of file descriptors of a node whose descriptors are limited.
const DESCRIPTORS_MAX: u32 = 500;

/// The number of descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// How long an ordinary request may take. It only keeps a failing test from waiting forever.
const ANSWER_GUARD: Duration = Duration::from_mins(1);

/// How often an ordinary request that is refused is sent.
const ATTEMPTS_MAX: u32 = 4;

/// The interval between two samples of the memory of the nodes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The number of consecutive samples without a change after which a mesh is settled.
const SETTLED_SAMPLES: u32 = 4;

/// The number of samples after which a mesh counts as settled although its memory still changes.
const SAMPLES_MAX: u32 = 120;

/// The change of memory that does not count, in bytes.
const UNCHANGED_BYTES: u64 = 256 << 10;

/// The route of ordinary requests; their backend server responds at once.
pub(crate) const ORDINARY: &str = "/booking";

/// The route to a backend server that takes longer than any test for a request.
pub(crate) const BUSY: &str = "/export";

/// A mesh whose last node has the backend servers of its host, and the crowd at its first node.
pub(crate) struct Site {
    mesh: Mesh,
    runtime: Runtime,
    _exclusive: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts a mesh in which a request makes `hops` hops from node to node or backend server.
    pub(crate) fn start(hops: usize) -> Self {
        let exclusive = exclusive();
        let timing = json!({ "heartbeat": "200ms", "lease": "1000ms", "renewal": "60000ms" });
        let mut mesh = Mesh::start(programs(), &[("kochi", "kochi-a")], hops, &timing).unwrap();
        let file = mesh.file("crowd.jsonc", &configuration()).unwrap();
        let arguments = ["--json", "apply", &file, "--preset", "ordinary-day"];
        mesh.operator("asha").run(&arguments).unwrap();
        let last = hops - 1;
        let room = ["--slots", "1000", "--connections", "10000"];
        mesh.add_backend("catalogue", last, &room).unwrap();
        let work = ["--work", "600000ms"];
        mesh.add_backend("export", last, &[&room[..], &work[..]].concat())
            .unwrap();
        mesh.wait_until_answered(ORDINARY).unwrap();
        wait_for_endpoints(&mesh);
        Self {
            mesh,
            runtime: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap(),
            _exclusive: exclusive,
        }
    }

    /// As [`Site::start`], with a limited number of descriptors at the first node.
    pub(crate) fn with_few_descriptors(hops: usize) -> Self {
        let mut site = Self::start(hops);
        let mut process = site.mesh.fleet.nodes[0].process.take().unwrap();
        process.terminate(Span::seconds(60)).unwrap();
        site.mesh.fleet.nodes[0].descriptors_max = Some(DESCRIPTORS_MAX);
        site.mesh.start_nodes().unwrap();
        site.mesh.wait_until_answered(ORDINARY).unwrap();
        wait_for_endpoints(&site.mesh);
        site
    }

    /// The address for calls of the node that the crowd is at.
    pub(crate) fn calls(&self) -> SocketAddr {
        self.mesh.fleet.nodes[0].calls
    }

    /// The address for announcements of the node that the crowd is at.
    pub(crate) fn announce(&self) -> SocketAddr {
        self.mesh.fleet.nodes[0].announce
    }

    /// The address for links of the node that the crowd is at.
    pub(crate) fn link(&self) -> SocketAddr {
        self.mesh.fleet.nodes[0].link
    }

    /// The address of the admin pages of the node that the crowd is at.
    pub(crate) fn admin(&self) -> SocketAddr {
        self.mesh.fleet.nodes[0].admin
    }

    /// Lets `count` clients do what `member` says, and waits until neither they nor the memory of the
    /// nodes make progress. The clients stay connected while the returned crowd exists.
    pub(crate) fn crowd(&self, address: SocketAddr, count: usize, member: &Member) -> Crowd {
        self.runtime.block_on(async {
            let crowd = Crowd::run(address, count, member).await;
            self.settle().await;
            crowd
        })
    }

    /// Sends `request`, whose connection closes after the response, and returns the response.
    pub(crate) fn exchange(&self, request: &[u8]) -> Vec<u8> {
        self.runtime.block_on(async {
            let mut stream = TcpStream::connect(self.calls()).await.unwrap();
            stream.write_all(request).await.unwrap();
            let mut response = Vec::new();
            let reading = stream.read_to_end(&mut response);
            timeout(ANSWER_GUARD, reading).await.unwrap().unwrap();
            response
        })
    }

    /// Asserts that all nodes are alive, that each has stayed within the memory of its host, that
    /// limited descriptors leave the reserve for files, and that an ordinary request is answered.
    pub(crate) fn assert_serves_within_bounds(&mut self) {
        let sockets = sockets(self.pid(0));
        let answer = self.runtime.block_on(self.ordinary_request());
        let peaks: Vec<u64> = (0..self.mesh.fleet.nodes.len())
            .map(|index| memory(self.pid(index), "VmHWM:"))
            .collect();
        anstream::println!(
            "peak memory in bytes: {peaks:?}, open sockets: {sockets}, answer: {answer:?}"
        );
        for node in &mut self.mesh.fleet.nodes {
            let exit = node.process.as_mut().unwrap().wait(Span::default());
            assert_eq!(exit, None, "node {} has ended", node.name);
        }
        for peak in peaks {
            assert!(
                peak <= HOST_MEMORY_BYTES,
                "expected at most {HOST_MEMORY_BYTES} bytes of memory, found {peak}"
            );
        }
        if let Some(limit) = self.mesh.fleet.nodes[0].descriptors_max {
            let sockets_max = limit as usize - FILE_DESCRIPTORS;
            assert!(
                sockets <= sockets_max,
                "expected at most {sockets_max} open sockets, found {sockets}"
            );
        }
        assert_eq!(answer.as_deref(), Some("HTTP/1.1 200 OK"));
    }

    /// Returns the status line of the response to an ordinary request, if there is a response. As
    /// ordinary callers do, it is sent again when the node refuses it and says when to come back.
    async fn ordinary_request(&self) -> Option<String> {
        let mut response = None;
        for _ in 0..ATTEMPTS_MAX {
            response = timeout(ANSWER_GUARD, exchange(self.calls())).await.ok()?;
            match response.as_deref().and_then(retry_after) {
                Some(delay) => sleep(delay).await,
                None => break,
            }
        }
        response?.lines().next().map(str::to_owned)
    }

    /// Waits until the memory of the nodes does not change any longer.
    async fn settle(&self) {
        let mut ticks = interval(SAMPLE_INTERVAL);
        let mut before = 0;
        let mut unchanged = 0;
        for _ in 0..SAMPLES_MAX {
            ticks.tick().await;
            let nodes = 0..self.mesh.fleet.nodes.len();
            let now: u64 = nodes.map(|index| memory(self.pid(index), "VmRSS:")).sum();
            unchanged = if now.abs_diff(before) <= UNCHANGED_BYTES {
                unchanged + 1
            } else {
                0
            };
            if unchanged == SETTLED_SAMPLES {
                return;
            }
            before = now;
        }
    }

    fn pid(&self, index: usize) -> u32 {
        self.mesh.fleet.nodes[index].process.as_ref().unwrap().pid()
    }
}

/// Lets one test of this program run at a time.
fn exclusive() -> MutexGuard<'static, ()> {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the programs; the first call builds them.
fn programs() -> &'static Programs {
    static PROGRAMS: OnceLock<Programs> = OnceLock::new();
    PROGRAMS.get_or_init(|| Programs::find().unwrap())
}

/// Sends an ordinary request on a new connection, and returns the response.
async fn exchange(address: SocketAddr) -> Option<String> {
    let request = format!("GET {ORDINARY} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    Some(response)
}

/// Returns the value of `retry-after` in a refusal.
fn retry_after(response: &str) -> Option<Duration> {
    let value = response
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "))?;
    value.parse().ok().map(Duration::from_secs_f64)
}

/// Waits until every node has a ready endpoint of each service.
fn wait_for_endpoints(mesh: &Mesh) {
    mesh.wait_until("with both endpoints", |dump| {
        let endpoints = dump["endpoints"].as_object();
        endpoints.is_some_and(|all| all.values().filter(|it| it["state"] == "ready").count() == 2)
    })
    .unwrap();
}

fn configuration() -> String {
    json!({
        "clusters": {
            "catalogue": { "service": "catalogue" },
            "export": { "service": "export" },
        },
        "policies": { "standard": { "timeout": "600000ms" } },
        "presets": { "ordinary-day": {} },
        "routes": {
            "booking": { "prefix": ORDINARY, "cluster": "catalogue", "policy": "standard" },
            "export": { "prefix": BUSY, "cluster": "export", "policy": "standard" },
        },
    })
    .to_string()
}

/// Returns the memory of a process in bytes; `field` names it in `/proc/PID/status`. A process that
/// has ended has none.
fn memory(pid: u32, field: &str) -> u64 {
    let Ok(status) = fs::read_to_string(format!("/proc/{pid}/status")) else {
        return 0;
    };
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kilobytes.map_or(0, |kilobytes| kilobytes << 10)
}

/// Returns the number of open sockets of a process.
fn sockets(pid: u32) -> usize {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return 0;
    };
    let targets = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    targets
        .filter(|target| target.to_string_lossy().starts_with("socket:"))
        .count()
}
