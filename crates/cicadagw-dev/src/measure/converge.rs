//! Polls nodes until they hold a version.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cicadagw_unit::Version;
use futures_util::future::join_all;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// The interval at which each node is polled; also the resolution of the convergence times.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout for a version to reach every node.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(1);

/// The timeout of one poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of the admin page `/ready` that is read.
#[derive(serde::Deserialize)]
struct Ready {
    version: Version,
}

/// Polls the admin pages of nodes for the version that they hold.
pub(crate) struct Observer {
    http: awc::Client,
}

impl Observer {
    pub(crate) fn new() -> Self {
        let http = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
        Self { http }
    }

    /// Waits until all nodes with these admin addresses hold `version` or a newer one; returns
    /// when each was first seen to hold it.
    pub(crate) async fn wait_for(
        &self,
        nodes: &[SocketAddr],
        version: Version,
    ) -> io::Result<Vec<Instant>> {
        let waits = nodes.iter().map(|node| self.wait_for_one(*node, version));
        timeout(CONVERGENCE_TIMEOUT, join_all(waits))
            .await
            .map_err(|_| {
                let reason =
                    format!("not every node holds version {version} after {CONVERGENCE_TIMEOUT:?}");
                io::Error::new(io::ErrorKind::TimedOut, reason)
            })
    }

    async fn wait_for_one(&self, node: SocketAddr, version: Version) -> Instant {
        let mut ticks = interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.held_version(node).await >= Some(version) {
                return Instant::now();
            }
        }
    }

    /// Returns the version that a node holds; `None` if it did not respond with one.
    async fn held_version(&self, node: SocketAddr) -> Option<Version> {
        let url = format!("http://{node}/ready");
        let mut response = self.http.get(url).send().await.ok()?;
        let ready: Ready = response.json().await.ok()?;
        Some(ready.version)
    }
}

/// Returns the time from `start` to the latest of `ends`, in milliseconds; zero without any.
pub(crate) fn latest_ms(start: Instant, ends: &[Instant]) -> f64 {
    let spans = ends.iter().map(|end| end.saturating_duration_since(start));
    spans.max().unwrap_or_default().as_secs_f64() * 1e3
}
