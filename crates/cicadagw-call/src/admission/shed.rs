//! Which call is shed when a queue is full.

use std::collections::BTreeMap;

use cicadagw_unit::time::Timestamp;

use super::decision::Decision;
use super::queue::{Key, QueuedCall};

/// Queues a call under `key`, or sheds it if the queue of its policy is full.
///
/// Then a queued call that can no longer meet its soft deadline is displaced, else the one that
/// would start last, which has the most time left for an attempt elsewhere. If the new call itself
/// would start last, it is shed.
pub(super) fn queue_or_shed(
    now: Timestamp,
    key: Key,
    call: &QueuedCall,
    queue: &BTreeMap<Key, QueuedCall>,
) -> Decision {
    let mut competitors = queue
        .iter()
        .filter(|(_, queued)| queued.constraints.policy == call.constraints.policy);
    if competitors.clone().count() < call.constraints.queue.get() as usize {
        return Decision::Queue { displaced: None };
    }
    let late = competitors
        .clone()
        .find(|(key, queued)| queued.is_late(now, **key));
    match late.or_else(|| competitors.next_back()) {
        Some((victim, queued)) if *victim > key || queued.is_late(now, *victim) => {
            Decision::Queue {
                displaced: Some(victim.ticket),
            }
        }
        _ => Decision::Shed,
    }
}
