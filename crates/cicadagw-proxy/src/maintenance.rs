//! Periodic maintenance of the proxy, and its shutdown.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior, interval, sleep_until, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// The period of the maintenance: expiry, pruning, sending queued updates and publishing the state.
const MAINTENANCE_PERIOD: Duration = Duration::from_millis(250);

/// The time between two runs from which on the process itself must have been suspended.
const SUSPENSION_MIN: Duration = Duration::from_secs(1);

/// The maximum time for sending the last updates to the control duty.
const LAST_UPDATES_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs the maintenance until `token` is cancelled, and then shuts the node down.
pub(crate) async fn run(node: &Node, token: &CancellationToken) {
    maintain_until(node, token.cancelled()).await;
    shut_down(node).await;
}

/// Runs the maintenance until `end` completes.
async fn maintain_until<T>(node: &Node, end: impl Future<Output = T>) -> T {
    let mut ticks = interval(MAINTENANCE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    let mut end = pin!(end);
    loop {
        tokio::select! {
            output = &mut end => return output,
            _ = ticks.tick() => {}
        }
        if last.elapsed() > SUSPENSION_MIN {
            node.renew_all();
        }
        last = Instant::now();
        maintain(node);
    }
}

fn maintain(node: &Node) {
    node.expire();
    node.peers.prune_idle();
    node.publish_limits();
    node.stats.set_ledger(&node.ledger);
    node.stats.set_quotas(node.quotas.maintain());
    node.report_rollouts();
    node.flush();
    node.publish();
}

/// Finishes the calls in flight, deregisters the local backend servers, and sends the last updates.
async fn shut_down(node: &Node) {
    let begin = Instant::now();
    log::info!("the proxy is shutting down");
    node.start_shutdown();
    let limit = begin + node.timing.drain.into();
    let idle = async {
        // Meanwhile callers switch to another node, and the state change reaches the other nodes.
        sleep_until(begin + node.shutdown_delay.into()).await;
        node.refuse_calls();
        timeout_at(limit, node.wait_until_idle()).await
    };
    if maintain_until(node, idle).await.is_err() {
        log::warn!(next = "they end with the outcome unknown"; "calls are still in flight after the drain time");
        node.abort.cancel();
    }
    node.deregister_all();
    let updates = async {
        let mut ticks = interval(MAINTENANCE_PERIOD);
        while !node.flush() {
            ticks.tick().await;
        }
    };
    if timeout(LAST_UPDATES_TIMEOUT, updates).await.is_err() {
        log::warn!(
            "the last state changes of local backend servers were not delivered to the control duty"
        );
    }
    node.publish();
}
