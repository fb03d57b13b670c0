//! News of this node on its way to the others.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

/// The wait before news is sent again: twice a round trip between regions.
const AGAIN: Span = Span::new(250);

/// How often news is sent to a node that does not acknowledge it; digests make up for the rest.
const TRIES_MAX: u32 = 5;

/// Which nodes have not acknowledged the newest news of this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbound {
    waiting: BTreeMap<id::Node, Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    due: Timestamp,
    tries: u32,
}

impl Outbound {
    /// Begins to tell `node`; it is due at once.
    pub(crate) fn add(&mut self, now: Timestamp, node: &id::Node) {
        self.waiting
            .insert(node.clone(), Waiting { due: now, tries: 0 });
    }

    /// Takes note that `node` has the newest news, or is gone.
    pub(crate) fn done(&mut self, node: &id::Node) {
        self.waiting.remove(node);
    }

    /// Returns the nodes that are to be told now.
    pub(crate) fn due(&mut self, now: Timestamp) -> Vec<id::Node> {
        let mut due = Vec::new();
        self.waiting.retain(|node, waiting| {
            if now < waiting.due {
                return true;
            }
            due.push(node.clone());
            waiting.due = now.after(AGAIN.times(1 << waiting.tries));
            waiting.tries += 1;
            waiting.tries < TRIES_MAX
        });
        due
    }
}
