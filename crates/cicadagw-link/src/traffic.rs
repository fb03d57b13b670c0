//! Counts of what was carried, on the level of payloads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cicadagw_unit::size::Bytes;
use cicadagw_wire::{Down, Up};

/// What a message is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Signs of life of a parent.
    Beats,
    /// Snapshots, deltas and the wish for them.
    Configuration,
    /// News of endpoints.
    Endpoints,
    /// Signs of life of a child.
    Reports,
    /// The shape of the tree: paths and censuses.
    Tree,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Beats,
        Self::Configuration,
        Self::Endpoints,
        Self::Reports,
        Self::Tree,
    ];

    /// Returns the name, for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Beats => "beats",
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
            Down::Heartbeat(_) => Self::Beats,
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

/// Which way a message went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// From a peer.
    Received,
    /// To a peer.
    Sent,
}

/// How far a message goes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// Both nodes are in one region, or the other one is a parent, whose end counts the link.
    #[default]
    Within,
    /// The message crosses the link between regions.
    Across,
}

impl Reach {
    /// Every reach.
    pub const ALL: [Self; 2] = [Self::Within, Self::Across];

    /// Returns the name, for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Within => "within-region",
            Self::Across => "across-regions",
        }
    }
}

/// How much of one kind went one way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// The bytes of the payloads, as they were carried.
    pub bytes: Bytes,
    /// The messages.
    pub messages: u64,
}

/// The shared counts; clones count together.
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
    /// Returns how much of `kind` went `way` as far as `reach`.
    pub fn count(&self, way: Way, reach: Reach, kind: Kind) -> Count {
        let counter = self.counter(way, reach, kind);
        Count {
            bytes: Bytes::new(counter.bytes.load(Ordering::Relaxed)),
            messages: counter.messages.load(Ordering::Relaxed),
        }
    }

    /// Counts one message of `size` bytes.
    pub(crate) fn add(&self, way: Way, reach: Reach, kind: Kind, size: usize) {
        let counter = self.counter(way, reach, kind);
        let size = u64::try_from(size).unwrap_or(u64::MAX);
        counter.bytes.fetch_add(size, Ordering::Relaxed);
        counter.messages.fetch_add(1, Ordering::Relaxed);
    }

    fn counter(&self, way: Way, reach: Reach, kind: Kind) -> &Counter {
        &self.counters[way as usize][reach as usize][kind as usize]
    }
}
