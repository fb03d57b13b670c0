//! Watching the versions that nodes hold.

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

/// How often a node is asked.
const POLL: Duration = Duration::from_millis(20);

/// Asks nodes, none of which is restarted meanwhile, for the version that they hold.
#[derive(Debug)]
pub struct Watch {
    end: CancellationToken,
    thread: Option<JoinHandle<Vec<String>>>,
}

impl Watch {
    /// Starts to ask `nodes`.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub fn start<'n>(nodes: impl IntoIterator<Item = &'n Node>) -> io::Result<Self> {
        let nodes: Vec<_> = nodes
            .into_iter()
            .map(|node| (node.name.clone(), node.admin))
            .collect();
        let end = CancellationToken::new();
        let ended = end.clone();
        let thread = Builder::new()
            .name("watch".to_owned())
            .spawn(move || block_on(follow_all(nodes, ended)))?;
        Ok(Self {
            end,
            thread: Some(thread),
        })
    }

    /// Ends, and tells of every node that showed a lower version than before, or never answered.
    pub fn finish(mut self) -> Vec<String> {
        self.end.cancel();
        let thread = self.thread.take();
        let findings = thread.map(JoinHandle::join);
        findings.transpose().ok().flatten().unwrap_or_default()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.end.cancel();
    }
}

async fn follow_all(nodes: Vec<(id::Node, SocketAddr)>, end: CancellationToken) -> Vec<String> {
    let tasks: Vec<_> = nodes
        .into_iter()
        .map(|(name, admin)| rt::spawn(follow(name, admin, end.clone())))
        .collect();
    let mut findings = Vec::new();
    for task in tasks {
        findings.extend(task.await.unwrap_or_else(|error| vec![error.to_string()]));
    }
    findings
}

/// Asks one node until `end`; a node that is frozen or gone shows nothing meanwhile.
async fn follow(name: id::Node, admin: SocketAddr, end: CancellationToken) -> Vec<String> {
    let mut findings = Vec::new();
    let mut highest = Version::default();
    let mut answers = 0_u32;
    let mut ticks = interval(POLL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !end.is_cancelled() {
        ticks.tick().await;
        let Ok(meters) = Metrics::read(admin).await else {
            continue;
        };
        answers += 1;
        if meters.held_version < highest {
            findings.push(format!(
                "{name} went from {highest} to {}",
                meters.held_version
            ));
        }
        highest = highest.max(meters.held_version);
    }
    if answers == 0 {
        findings.push(format!("{name} never answered"));
    }
    findings
}
