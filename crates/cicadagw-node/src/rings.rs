//! The rings between the duties, with their capacities in messages.

use cicadagw_control::platform;
use cicadagw_endpoint::LocalUpdate;
use cicadagw_meter::Meter;
use cicadagw_ring::{Receiver, Sender, channel};
use cicadagw_wire::link;

/// Capacity of the ring of commands to the links duty. When it is full, the control duty waits;
/// this cannot deadlock, since the links duty executes commands without waiting for the control
/// duty.
const COMMANDS_CAPACITY: usize = 1_024;

/// Capacity of the ring of events from the links duty. When it is full, links are read more slowly.
const LINK_EVENTS_CAPACITY: usize = 1_024;

/// Capacity of the ring of changes of the backend server on this host. When it is full, the calls
/// duty keeps only the newest change.
const LOCALS_CAPACITY: usize = 64;

/// Capacity of the ring of calls to the platform. When it is full, a call fails at once and is
/// retried later.
const PLATFORM_CALLS_CAPACITY: usize = 64;

/// Capacity of the ring of replies from the platform. When it is full, the platform duty waits.
const PLATFORM_REPLIES_CAPACITY: usize = 64;

/// The ring ends held by the control duty.
pub(crate) struct Control {
    pub(crate) commands: Sender<link::Command>,
    pub(crate) links: Receiver<link::Event>,
    pub(crate) locals: Receiver<LocalUpdate>,
    pub(crate) calls: Sender<platform::Call>,
    pub(crate) replies: Receiver<platform::Reply>,
}

/// The ring ends held by the links duty.
pub(crate) struct Links {
    pub(crate) commands: Receiver<link::Command>,
    pub(crate) events: Sender<link::Event>,
}

/// The ring ends held by the platform duty.
pub(crate) struct Platform {
    pub(crate) calls: Receiver<platform::Call>,
    pub(crate) replies: Sender<platform::Reply>,
}

/// Every ring of a node, grouped by the duty that holds its end; `locals` is for the calls duty.
pub(crate) struct Rings {
    pub(crate) control: Control,
    pub(crate) links: Links,
    pub(crate) locals: Sender<LocalUpdate>,
    pub(crate) platform: Platform,
}

impl Rings {
    /// Creates the rings and registers their gauges with `meter`.
    pub(crate) fn new(meter: &Meter) -> Self {
        let (commands, commands_receiver) = channel("link-commands", COMMANDS_CAPACITY);
        let (events, links) = channel("link-events", LINK_EVENTS_CAPACITY);
        let (locals_sender, locals) = channel("locals", LOCALS_CAPACITY);
        let (calls, calls_receiver) = channel("platform-calls", PLATFORM_CALLS_CAPACITY);
        let (replies_sender, replies) = channel("platform-replies", PLATFORM_REPLIES_CAPACITY);
        meter.add_ring(commands.gauge().clone());
        meter.add_ring(events.gauge().clone());
        meter.add_ring(locals_sender.gauge().clone());
        meter.add_ring(calls.gauge().clone());
        meter.add_ring(replies_sender.gauge().clone());
        Self {
            control: Control {
                commands,
                links,
                locals,
                calls,
                replies,
            },
            links: Links {
                commands: commands_receiver,
                events,
            },
            locals: locals_sender,
            platform: Platform {
                calls: calls_receiver,
                replies: replies_sender,
            },
        }
    }
}
