//! Retransmission of this node's own record until its peers acknowledge it.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

/// Delay before the first retransmission, doubled for each further one: twice a round trip between
/// regions.
const RETRANSMIT_DELAY: Span = Span::new(250);

/// How often a record is sent to a peer that does not acknowledge it; after that, digests repair
/// what is still missing.
const TRANSMISSIONS_MAX: u32 = 5;

/// The peers that have not acknowledged this node's current record.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbound {
    pending: BTreeMap<id::Node, Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    /// When the record is sent next.
    due: Timestamp,
    /// How often it has been sent.
    transmissions: u32,
}

impl Outbound {
    /// Queues the record for `node`, to be sent by the next call of [`Self::due`].
    pub(crate) fn add(&mut self, now: Timestamp, node: &id::Node) {
        self.pending.insert(
            node.clone(),
            Pending {
                due: now,
                transmissions: 0,
            },
        );
    }

    /// Stops sending to `node`, which has acknowledged the record.
    pub(crate) fn remove(&mut self, node: &id::Node) {
        self.pending.remove(node);
    }

    /// Returns whether `node` has not acknowledged the record.
    pub(crate) fn is_pending(&self, node: &id::Node) -> bool {
        self.pending.contains_key(node)
    }

    /// Returns the nodes to send the record to now, and schedules their next retransmission.
    pub(crate) fn due(&mut self, now: Timestamp) -> Vec<id::Node> {
        let mut due = Vec::new();
        self.pending.retain(|node, pending| {
            if now < pending.due {
                return true;
            }
            due.push(node.clone());
            pending.due = now.after(RETRANSMIT_DELAY.times(1 << pending.transmissions));
            pending.transmissions += 1;
            pending.transmissions < TRANSMISSIONS_MAX
        });
        due
    }
}
