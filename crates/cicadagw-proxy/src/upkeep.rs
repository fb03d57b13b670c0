//! What the duty does from time to time, and how it ends.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// How often backend servers are looked over and news is sent again.
const PERIOD: Duration = Duration::from_millis(250);

/// After how long without a look the process itself must have stood still.
const PAUSE: Duration = Duration::from_secs(1);

/// How long the last news may take to be sent.
const LAST_NEWS: Duration = Duration::from_secs(1);

/// Looks after the node until `token` is cancelled, and then lets it drain.
pub(crate) async fn run(node: &Node, token: &CancellationToken) {
    tend_until(node, token.cancelled()).await;
    drain(node).await;
}

/// Looks after the node until `end`.
async fn tend_until<T>(node: &Node, end: impl Future<Output = T>) -> T {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    let mut end = pin!(end);
    loop {
        tokio::select! {
            output = &mut end => return output,
            _ = ticks.tick() => {}
        }
        if last.elapsed() > PAUSE {
            node.resume();
        }
        last = Instant::now();
        tend(node);
    }
}

fn tend(node: &Node) {
    node.expire();
    node.peers.prune_idle();
    node.flush();
    node.publish();
}

async fn drain(node: &Node) {
    let begin = Instant::now();
    log::info!("the calls duty drains");
    node.stop();
    let limit = begin + node.timing.drain.into();
    let idle = async {
        // Callers find another node first, and the news of the stop gets around.
        sleep_until(begin + node.shutdown_delay.into()).await;
        node.refuse();
        timeout_at(limit, node.idle()).await
    };
    if tend_until(node, idle).await.is_err() {
        log::warn!(next = "they are ended with an answer"; "calls are still under way after the time for draining");
        node.ending.cancel();
    }
    node.end_all();
    let news = async {
        let mut ticks = interval(PERIOD);
        while !node.flush() {
            ticks.tick().await;
        }
    };
    if timeout(LAST_NEWS, news).await.is_err() {
        log::warn!("the last news of the backend servers was not taken");
    }
    node.publish();
}
