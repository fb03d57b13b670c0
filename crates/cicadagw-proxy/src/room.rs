//! How the memory and the descriptors of a node are divided.
//!
//! The load that this answers: clients that are not controlled, which would otherwise take all
//! descriptors or all memory from ordinary callers, other nodes and backend servers.

use std::rc::Rc;

use cicadagw_http::Ledger;
use cicadagw_settings::Budget;
use cicadagw_unit::rate::Permille;

use crate::listener_kind::ListenerKind;

/// The maximum number of descriptors that are used unless the settings grant more.
const DESCRIPTORS: u64 = 4_100;

/// The descriptors that are reserved for files.
const FILE_DESCRIPTORS: u64 = 200;

/// The share of the host's memory that connections and calls in flight may hold. The rest is for the
/// program, its state, and what is not counted.
const MEMORY_SHARE: Permille = Permille::new(250);

/// The share of the descriptors for requests that are read while another of their connection is
/// unanswered.
const AHEAD_SHARE: Permille = Permille::new(80);

/// The share of the descriptors for calls in flight to one service.
const SERVICE_SHARE: Permille = Permille::new(200);

/// The memory and the descriptors that the proxy may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Room {
    memory: u64,
    sockets: u64,
}

impl Room {
    /// Returns the number of descriptors that the process is to use.
    pub(crate) fn descriptors(budget: &Budget) -> u64 {
        let granted = budget.descriptors;
        granted.map_or(DESCRIPTORS, |number| u64::from(number.get()))
    }

    /// Divides what the settings grant, as far as the system allows it; `system_limit` is the number of
    /// descriptors that it allows, if that is limited.
    pub(crate) fn new(budget: &Budget, system_limit: Option<u64>) -> Self {
        let granted = Self::descriptors(budget);
        let descriptors = system_limit.map_or(granted, |limit| limit.min(granted));
        if descriptors < granted {
            log::warn!(granted, limit = descriptors, next = "the node accepts fewer connections"; "the system allows fewer open files than granted");
        }
        Self {
            memory: budget.memory.get(),
            sockets: descriptors.saturating_sub(FILE_DESCRIPTORS),
        }
    }

    /// Returns an empty ledger of the memory of connections and calls.
    pub(crate) fn ledger(self) -> Rc<Ledger> {
        let budget = MEMORY_SHARE.of(self.memory);
        let ahead = AHEAD_SHARE.of(self.sockets);
        Rc::new(Ledger::new(number(budget), number(ahead)))
    }

    /// Returns the maximum number of connections of a listener. Of the descriptors that are not
    /// for files, 36 in 100 remain for connections to other nodes, backend servers and the platform.
    pub(crate) fn connections(self, kind: ListenerKind) -> usize {
        let share = match kind {
            ListenerKind::Calls | ListenerKind::Callers => Permille::new(300),
            ListenerKind::Nodes => Permille::new(250),
            ListenerKind::Announcements => Permille::new(60),
            ListenerKind::Ready => Permille::new(30),
        };
        number(share.of(self.sockets)).max(1)
    }

    /// Returns the maximum number of calls in flight of local callers to one service.
    pub(crate) fn calls_of_service(self) -> usize {
        number(SERVICE_SHARE.of(self.sockets)).max(1)
    }
}

fn number(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
