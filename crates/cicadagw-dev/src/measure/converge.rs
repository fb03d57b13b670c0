//! Waiting until nodes have a version in force.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cicadagw_unit::Version;
use futures_util::future::join_all;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// How often each node is asked; no shorter time can be told apart.
pub(crate) const RESOLUTION: Duration = Duration::from_millis(20);

/// How long it may take until a version is in force everywhere.
const PATIENCE: Duration = Duration::from_mins(1);

/// How long an answer may take.
const ANSWER: Duration = Duration::from_secs(2);

/// What of the page `/ready` is of interest.
#[derive(serde::Deserialize)]
struct Ready {
    version: Version,
}

/// Asks nodes which version they hold.
pub(crate) struct Observer {
    http: awc::Client,
}

impl Observer {
    pub(crate) fn new() -> Self {
        let http = awc::Client::builder().timeout(ANSWER).finish();
        Self { http }
    }

    /// Waits until all nodes with these admin addresses hold `version` or a newer one; returns
    /// when each was first seen to.
    pub(crate) async fn until(
        &self,
        nodes: &[SocketAddr],
        version: Version,
    ) -> io::Result<Vec<Instant>> {
        let waits = nodes.iter().map(|node| self.until_one(*node, version));
        timeout(PATIENCE, join_all(waits)).await.map_err(|_| {
            let reason = format!("version {version} is not in force everywhere in {PATIENCE:?}");
            io::Error::new(io::ErrorKind::TimedOut, reason)
        })
    }

    async fn until_one(&self, node: SocketAddr, version: Version) -> Instant {
        let mut ticks = interval(RESOLUTION);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if self.held(node).await >= Some(version) {
                return Instant::now();
            }
        }
    }

    async fn held(&self, node: SocketAddr) -> Option<Version> {
        let url = format!("http://{node}/ready");
        let mut response = self.http.get(url).send().await.ok()?;
        let ready: Ready = response.json().await.ok()?;
        Some(ready.version)
    }
}

/// Returns the span from `start` to the last of `ends`, in milliseconds.
pub(crate) fn last_ms(start: Instant, ends: &[Instant]) -> f64 {
    let spans = ends.iter().map(|end| end.saturating_duration_since(start));
    spans.max().unwrap_or_default().as_secs_f64() * 1e3
}
