//! The rings between the duties, with their capacities.

use cicadagw_control::platform;
use cicadagw_endpoint::LocalUpdate;
use cicadagw_meter::Meter;
use cicadagw_ring::{Receiver, Sender, channel};
use cicadagw_wire::link;

/// Messages to the links duty. When full, the control duty waits: the links duty never waits for it.
const COMMANDS_MAX: usize = 1_024;

/// Messages from the links duty. When full, the reading of links slows down.
const LINK_EVENTS_MAX: usize = 1_024;

/// News of the backend server on this host. When full, the calls duty keeps only the newest.
const LOCALS_MAX: usize = 64;

/// Calls to the platform. When full, a call fails at once and is made again later.
const PLATFORM_CALLS_MAX: usize = 64;

/// Answers of the platform. When full, the platform duty waits.
const PLATFORM_REPLIES_MAX: usize = 64;

/// The ends that the control duty holds.
pub(crate) struct Control {
    pub(crate) commands: Sender<link::Command>,
    pub(crate) links: Receiver<link::Event>,
    pub(crate) locals: Receiver<LocalUpdate>,
    pub(crate) calls: Sender<platform::Call>,
    pub(crate) replies: Receiver<platform::Reply>,
}

/// The ends that the links duty holds.
pub(crate) struct Links {
    pub(crate) commands: Receiver<link::Command>,
    pub(crate) events: Sender<link::Event>,
}

/// The ends that the platform duty holds.
pub(crate) struct Platform {
    pub(crate) calls: Receiver<platform::Call>,
    pub(crate) replies: Sender<platform::Reply>,
}

/// Every ring of a node, by the duties that hold their ends.
pub(crate) struct Rings {
    pub(crate) control: Control,
    pub(crate) links: Links,
    pub(crate) locals: Sender<LocalUpdate>,
    pub(crate) platform: Platform,
}

impl Rings {
    /// Creates the rings; `meter` shows how full they are.
    pub(crate) fn new(meter: &Meter) -> Self {
        let (commands, commands_out) = channel("link-commands", COMMANDS_MAX);
        let (events, links) = channel("link-events", LINK_EVENTS_MAX);
        let (locals_in, locals) = channel("locals", LOCALS_MAX);
        let (calls, calls_out) = channel("platform-calls", PLATFORM_CALLS_MAX);
        let (replies_in, replies) = channel("platform-replies", PLATFORM_REPLIES_MAX);
        meter.add_ring(commands.gauge().clone());
        meter.add_ring(events.gauge().clone());
        meter.add_ring(locals_in.gauge().clone());
        meter.add_ring(calls.gauge().clone());
        meter.add_ring(replies_in.gauge().clone());
        Self {
            control: Control {
                commands,
                links,
                locals,
                calls,
                replies,
            },
            links: Links {
                commands: commands_out,
                events,
            },
            locals: locals_in,
            platform: Platform {
                calls: calls_out,
                replies: replies_in,
            },
        }
    }
}
