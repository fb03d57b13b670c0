//! Checks that the versions that nodes hold never decrease.

use std::io;
use std::net::SocketAddr;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use actix_web::rt;
use cicadagw_unit::{Version, id};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::http::block_on;
use crate::process::{Metrics, Node};

/// The interval at which the metrics of a node are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls the version that nodes hold, on a thread of its own. None of them may be restarted
/// meanwhile, because a lower version than before counts as a finding.
#[derive(Debug)]
pub struct Monitor {
    end: CancellationToken,
    thread: Option<JoinHandle<Vec<String>>>,
}

impl Monitor {
    /// Starts polling `nodes`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start<'n>(nodes: impl IntoIterator<Item = &'n Node>) -> io::Result<Self> {
        let nodes: Vec<_> = nodes
            .into_iter()
            .map(|node| (node.name.clone(), node.admin))
            .collect();
        let end = CancellationToken::new();
        let ended = end.clone();
        let thread = Builder::new()
            .name("monitor".to_owned())
            .spawn(move || block_on(poll_all(nodes, ended)))?;
        Ok(Self {
            end,
            thread: Some(thread),
        })
    }

    /// Stops polling and returns a finding for every time a node showed a lower version than
    /// before, and for every node whose metrics were never read. Returns no findings if the thread
    /// panicked.
    pub fn finish(mut self) -> Vec<String> {
        self.end.cancel();
        let thread = self.thread.take();
        let findings = thread.map(JoinHandle::join);
        findings.transpose().ok().flatten().unwrap_or_default()
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        self.end.cancel();
    }
}

/// Polls all of `nodes` concurrently and returns their findings.
async fn poll_all(nodes: Vec<(id::Node, SocketAddr)>, end: CancellationToken) -> Vec<String> {
    let tasks: Vec<_> = nodes
        .into_iter()
        .map(|(name, admin)| rt::spawn(poll(name, admin, end.clone())))
        .collect();
    let mut findings = Vec::new();
    for task in tasks {
        findings.extend(task.await.unwrap_or_else(|error| vec![error.to_string()]));
    }
    findings
}

/// Polls one node until `end` is cancelled. A poll that fails, as when the node is suspended or
/// killed, is skipped.
async fn poll(name: id::Node, admin: SocketAddr, end: CancellationToken) -> Vec<String> {
    let mut findings = Vec::new();
    let mut highest = Version::default();
    let mut reads = 0_u32;
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !end.is_cancelled() {
        ticks.tick().await;
        let Ok(metrics) = Metrics::read(admin).await else {
            continue;
        };
        reads += 1;
        if metrics.held_version < highest {
            findings.push(format!(
                "node {name} went back from version {highest} to {}",
                metrics.held_version
            ));
        }
        highest = highest.max(metrics.held_version);
    }
    if reads == 0 {
        findings.push(format!("the metrics of node {name} were never read"));
    }
    findings
}
