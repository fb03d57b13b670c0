//! The baseline: every node watches the platform and fetches the whole configuration.
//!
//! All clients run on one thread of this process. Bytes and calls are the same as with a process
//! each; times are longer where that thread unpacks one configuration after the other.

use std::io;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_web::rt::System;
use cicadagw_accept::load;
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
use super::converge::last_ms;
use super::figures::{Figures, mean, quantile};
use super::stage::Platform;
use crate::process::{Programs, ScratchDir};

/// How long a watch waits, as that of a root.
const WATCH: Span = Span::seconds(10);

/// How soon a client tries again.
const RETRY: Duration = Duration::from_millis(200);

/// How long it may take until a version is in force everywhere.
const PATIENCE: Duration = Duration::from_mins(1);

/// How many adoptions may wait to be noted.
const RING: usize = 1024;

/// A client put a version in force.
struct Adopted {
    version: Version,
    at: Instant,
}

/// The clients; they end when this is dropped.
struct Clients {
    adopted: Receiver<Adopted>,
    count: usize,
    end: CancellationToken,
    thread: Option<JoinHandle<()>>,
    traffic: Traffic,
}

/// Measures `count` clients over `changes` changes, and idle for `idle`.
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
    clients.until(first.version).await?;
    let mut figures = Figures::new();
    measure_idle(&platform, &clients, idle, &mut figures).await?;
    let mut times = Vec::new();
    let mut calls = Vec::new();
    let received = clients.traffic.volume().received;
    for _ in 0..changes {
        let accepted = operator.change().await?;
        let before = clients.traffic.volume().calls;
        let ends = clients.until(accepted.version).await?;
        times.push(last_ms(accepted.at, &ends));
        calls.push((clients.traffic.volume().calls - before) as f64);
    }
    let received = clients.traffic.volume().received.get() - received.get();
    let each = received as f64 / (count * changes) as f64;
    figures.insert("baseline.received-B/change/node".into(), each);
    figures.insert("baseline.platform-calls/change".into(), mean(&calls));
    for (name, share) in [("p50", 0.5), ("p99", 0.99), ("max", 1.0)] {
        let value = quantile(&times, share).unwrap_or_default();
        figures.insert(format!("baseline.convergence-{name}-ms").into(), value);
    }
    Ok(figures)
}

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
    let each = received as f64 / seconds / clients.count as f64;
    let calls = load.calls as f64 / seconds;
    figures.insert("baseline.idle.received-B/s/node".into(), each);
    figures.insert("baseline.idle.platform-calls/s".into(), calls);
    Ok(())
}

impl Clients {
    fn start(platform: SocketAddr, count: usize) -> io::Result<Self> {
        let (sender, adopted) = channel("adopted", RING);
        let end = CancellationToken::new();
        let traffic = Traffic::default();
        let (cancel, counted) = (end.clone(), traffic.clone());
        let thread = thread::Builder::new()
            .name("baseline".into())
            .spawn(move || {
                System::new().block_on(async {
                    let loops = (0..count).map(|_| follow(platform, &counted, &sender));
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

    /// Waits until all clients have `version` in force; returns when each had.
    async fn until(&self, version: Version) -> io::Result<Vec<Instant>> {
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
        timeout(PATIENCE, wait).await.map_err(io::Error::other)
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.end.cancel();
        if let Some(thread) = self.thread.take() {
            // A client that panicked has ended as well.
            let _ = thread.join();
        }
    }
}

/// Follows the head for ever, as one node.
async fn follow(platform: SocketAddr, traffic: &Traffic, adopted: &Sender<Adopted>) {
    let client = Client::builder()
        .addresses(&[platform])
        .traffic(traffic.clone())
        .build();
    let mut after = Revision::default();
    loop {
        match client.watch(&Key::head(), after, WATCH).await {
            Ok(Some(object)) => {
                if let Some(version) = adopt(&client, &object.value).await {
                    after = object.revision;
                    let at = Instant::now();
                    // The measuring side is gone when nobody takes it.
                    let _ = adopted.send(Adopted { version, at }).await;
                }
            }
            Ok(None) => {}
            Err(_) => sleep(RETRY).await,
        }
    }
}

/// Fetches and verifies the whole configuration that the head names.
async fn adopt(client: &Client, head: &[u8]) -> Option<Version> {
    let head: Head = serde_json::from_slice(head).ok()?;
    let snapshot = load(client, head.newest()).await.ok()?;
    Some(snapshot.stamp.version)
}
