//! The rings between the duties, with their capacities.

use cicadagw_endpoint::LocalUpdate;
use cicadagw_gossip::{Call, Reply};
use cicadagw_meter::Meter;
use cicadagw_ring::{Receiver, Sender, channel};

/// News of the backend server on this host. When full, the calls duty keeps only the newest.
const LOCALS_MAX: usize = 64;

/// Calls to the platform and other nodes. When full, a call fails at once and is made again later.
const CALLS_MAX: usize = 32;

/// Answers. When full, the platform duty waits.
const REPLIES_MAX: usize = 32;

/// The ends that the gossip duty holds.
pub(crate) struct Gossip {
    pub(crate) calls: Sender<Call>,
    pub(crate) locals: Receiver<LocalUpdate>,
    pub(crate) replies: Receiver<Reply>,
}

/// The ends that the platform duty holds.
pub(crate) struct Platform {
    pub(crate) calls: Receiver<Call>,
    pub(crate) replies: Sender<Reply>,
}

/// Every ring of a node, by the duties that hold their ends.
pub(crate) struct Rings {
    pub(crate) gossip: Gossip,
    pub(crate) locals: Sender<LocalUpdate>,
    pub(crate) platform: Platform,
}

impl Rings {
    /// Creates the rings; `meter` shows how full they are.
    pub(crate) fn new(meter: &Meter) -> Self {
        let (locals_in, locals) = channel("locals", LOCALS_MAX);
        let (calls, calls_out) = channel("platform-calls", CALLS_MAX);
        let (replies_in, replies) = channel("platform-replies", REPLIES_MAX);
        meter.add_ring(locals_in.gauge().clone());
        meter.add_ring(calls.gauge().clone());
        meter.add_ring(replies_in.gauge().clone());
        Self {
            gossip: Gossip {
                calls,
                locals,
                replies,
            },
            locals: locals_in,
            platform: Platform {
                calls: calls_out,
                replies: replies_in,
            },
        }
    }
}
