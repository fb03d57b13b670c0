//! The baseline, without the mesh: every node watches the platform and fetches the whole
//! configuration from it.
//!
//! All clients run on one thread of this process. The bytes and calls are the same as with a process
//! for each client; times are longer, as that thread decodes one configuration after the other.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_web::rt::System;
use cicadagw_accept::load_snapshot;
use cicadagw_config::Head;
use cicadagw_platform::http::Client;
use cicadagw_platform::{Key, Revision, Store, Traffic};
use cicadagw_ring::{Receiver, Sender, channel};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use futures_util::future::join_all;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::change::Operator;
use super::converge::latest_ms;
use super::figures::{Figures, mean, quantile};
use super::testbed::Platform;
use crate::process::{Programs, ScratchDir};

/// How long the platform may hold a watch open; the same as for nodes that distribute the
/// configuration by gossip.
const WATCH_TIMEOUT: Span = Span::seconds(10);

/// The pause before a client repeats a failed watch.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The timeout for all clients to adopt a version.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(1);

/// The capacity of the channel by which clients report adoptions to the measurement.
const ADOPTED_CAPACITY: usize = 1024;

/// The adoption of a version by one client.
struct Adopted {
    version: Version,
    /// The time at which the client had fetched and verified the configuration.
    at: Instant,
}

/// The thread of the clients; it ends when this is dropped.
struct Clients {
    adopted: Receiver<Adopted>,
    /// The number of clients.
    count: usize,
    end: CancellationToken,
    thread: Option<JoinHandle<()>>,
    /// The traffic of all clients with the platform.
    traffic: Traffic,
}

/// Measures `count` clients of a configuration of `services` services: first idle for `idle`, then
/// over `changes` changes, one after the other.
pub(crate) async fn run(
    programs: &Programs,
    count: usize,
    services: usize,
    changes: usize,
    idle: Span,
) -> io::Result<Figures> {
    let scratch = ScratchDir::new()?;
    let platform = Platform::start(programs, scratch.path())?;
    let mut operator = Operator::new(platform.address, services);
    let clients = Clients::start(platform.address, count)?;
    let first = operator.change().await?;
    clients.wait_for(first.version).await?;
    let mut figures = Figures::new();
    measure_idle(&platform, &clients, idle, &mut figures).await?;
    let mut times = Vec::new();
    let mut calls = Vec::new();
    let received = clients.traffic.volume().received;
    for _ in 0..changes {
        let accepted = operator.change().await?;
        let before = clients.traffic.volume().calls;
        let ends = clients.wait_for(accepted.version).await?;
        times.push(latest_ms(accepted.at, &ends));
        calls.push((clients.traffic.volume().calls - before) as f64);
    }
    let received = clients.traffic.volume().received.get() - received.get();
    let per_client = received as f64 / (count * changes) as f64;
    figures.insert("baseline.received-B/change/node".into(), per_client);
    figures.insert("baseline.platform-calls/change".into(), mean(&calls));
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let value = quantile(&times, share).unwrap_or_default();
        figures.insert(format!("baseline.convergence-{name}-ms").into(), value);
    }
    Ok(figures)
}

/// Measures the traffic of the clients while nothing changes.
async fn measure_idle(
    platform: &Platform,
    clients: &Clients,
    idle: Span,
    figures: &mut Figures,
) -> io::Result<()> {
    let (load, volume) = (platform.load().await?, clients.traffic.volume());
    let start = Instant::now();
    sleep(idle.into()).await;
    let seconds = start.elapsed().as_secs_f64();
    let load = platform.load().await?.since(&load);
    let received = clients.traffic.volume().received.get() - volume.received.get();
    let per_client = received as f64 / seconds / clients.count as f64;
    let calls = load.calls as f64 / seconds;
    figures.insert("baseline.idle.received-B/s/node".into(), per_client);
    figures.insert("baseline.idle.platform-calls/s".into(), calls);
    Ok(())
}

impl Clients {
    /// Starts `count` clients of the platform on a thread of their own.
    fn start(platform: SocketAddr, count: usize) -> io::Result<Self> {
        let (sender, adopted) = channel("adopted", ADOPTED_CAPACITY);
        let end = CancellationToken::new();
        let traffic = Traffic::default();
        let (cancel, counted) = (end.clone(), traffic.clone());
        let thread = thread::Builder::new()
            .name("baseline".into())
            .spawn(move || {
                System::new().block_on(async {
                    let loops = (0..count).map(|_| follow_head(platform, &counted, &sender));
                    cancel.run_until_cancelled(join_all(loops)).await;
                });
            })?;
        Ok(Self {
            adopted,
            count,
            end,
            thread: Some(thread),
            traffic,
        })
    }

    /// Waits until all clients have adopted `version`; returns the time of each adoption, and fewer
    /// than one for each client if the thread of the clients has ended.
    async fn wait_for(&self, version: Version) -> io::Result<Vec<Instant>> {
        let wait = async {
            let mut ends = Vec::new();
            while ends.len() < self.count {
                match self.adopted.recv().await {
                    Some(adopted) if adopted.version == version => ends.push(adopted.at),
                    Some(_) => {}
                    None => break,
                }
            }
            ends
        };
        timeout(CONVERGENCE_TIMEOUT, wait)
            .await
            .map_err(io::Error::other)
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.end.cancel();
        if let Some(thread) = self.thread.take() {
            // An error means that the thread panicked, so it has ended as well.
            let _ = thread.join();
        }
    }
}

/// Watches the head as one node would, and adopts every version, until dropped.
async fn follow_head(platform: SocketAddr, traffic: &Traffic, adopted: &Sender<Adopted>) {
    let client = Client::builder()
        .addresses(&[platform])
        .traffic(traffic.clone())
        .build();
    let mut after = Revision::default();
    loop {
        match client.watch(&Key::head(), after, WATCH_TIMEOUT).await {
            Ok(Some(object)) => {
                if let Some(version) = fetch_newest(&client, &object.value).await {
                    after = object.revision;
                    let at = Instant::now();
                    // An error means that the measurement has ended.
                    let _ = adopted.send(Adopted { version, at }).await;
                }
            }
            Ok(None) => {}
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Fetches and verifies the whole configuration that the head names; returns its version.
async fn fetch_newest(client: &Client, head: &[u8]) -> Option<Version> {
    let head: Head = serde_json::from_slice(head).ok()?;
    let snapshot = load_snapshot(client, head.newest()).await.ok()?;
    Some(snapshot.stamp.version)
}
