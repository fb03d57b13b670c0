//! Counters of the messages carried between nodes and of their payload bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cicadagw_unit::size::Bytes;
use cicadagw_wire::{Down, Up};

/// The purpose of a message; the `kind` label of metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Heartbeats that a parent sends.
    Heartbeats,
    /// Snapshots and deltas of the configuration, and requests for whole snapshots.
    Configuration,
    /// Changes and digests of endpoint records.
    Endpoints,
    /// Status reports that a child sends as its sign of life.
    Reports,
    /// Messages about the shape of the tree: paths, requests for a census and their responses.
    Tree,
}

impl Kind {
    /// Every kind, in the order of their counters.
    pub const ALL: [Self; 5] = [
        Self::Heartbeats,
        Self::Configuration,
        Self::Endpoints,
        Self::Reports,
        Self::Tree,
    ];

    /// Returns the value of the metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeats => "beats",
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Reports => "reports",
            Self::Tree => "tree",
        }
    }
}

impl From<&Down> for Kind {
    fn from(message: &Down) -> Self {
        match message {
            Down::Heartbeat(_) => Self::Heartbeats,
            Down::Delta(_) | Down::Snapshot(_) => Self::Configuration,
            Down::Digests(_) | Down::Endpoints(_) => Self::Endpoints,
            Down::Path(_) | Down::Census => Self::Tree,
        }
    }
}

impl From<&Up> for Kind {
    fn from(message: &Up) -> Self {
        match message {
            Up::Report(_) => Self::Reports,
            Up::Endpoints(_) => Self::Endpoints,
            Up::Present(_) => Self::Tree,
            Up::SnapshotRequest => Self::Configuration,
        }
    }
}

/// The direction of a message, seen from this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From a peer to this node.
    Received,
    /// From this node to a peer; a message to a child counts as soon as it is handed to its link,
    /// even if the link is closed before the message is written.
    Sent,
}

/// Whether a message crosses regions; the `reach` label of metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// Both nodes are in one region, or the peer is a parent: only the parent's end counts a
    /// message as crossing regions.
    #[default]
    Within,
    /// The nodes are in different regions.
    Across,
}

impl Reach {
    /// Every reach, in the order of their counters.
    pub const ALL: [Self; 2] = [Self::Within, Self::Across];

    /// Returns the value of the metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Within => "within-region",
            Self::Across => "across-regions",
        }
    }
}

/// The traffic of one kind, direction and reach.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// The encoded payload bytes.
    pub bytes: Bytes,
    /// The number of messages.
    pub messages: u64,
}

/// The traffic counters; all clones share them.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counters: Arc<[[[Counter; Kind::ALL.len()]; Reach::ALL.len()]; 2]>,
}

#[derive(Debug, Default)]
struct Counter {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl Traffic {
    /// Returns the traffic of `kind` in `direction` within `reach`.
    pub fn count(&self, direction: Direction, reach: Reach, kind: Kind) -> Count {
        let counter = self.counter(direction, reach, kind);
        Count {
            bytes: Bytes::new(counter.bytes.load(Ordering::Relaxed)),
            messages: counter.messages.load(Ordering::Relaxed),
        }
    }

    /// Counts one message of `size` payload bytes.
    pub(crate) fn add(&self, direction: Direction, reach: Reach, kind: Kind, size: usize) {
        let counter = self.counter(direction, reach, kind);
        let size = u64::try_from(size).unwrap_or(u64::MAX);
        counter.bytes.fetch_add(size, Ordering::Relaxed);
        counter.messages.fetch_add(1, Ordering::Relaxed);
    }

    fn counter(&self, direction: Direction, reach: Reach, kind: Kind) -> &Counter {
        &self.counters[direction as usize][reach as usize][kind as usize]
    }
}
