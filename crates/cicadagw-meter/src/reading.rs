//! Readings of all counters, for dumps.

use std::collections::BTreeMap;

use cicadagw_ring::Gauge;
use cicadagw_unit::Version;
use cicadagw_unit::size::Bytes;

use crate::{Kind, Latency, Meter, Outcome, Reach, Readiness};

/// What a meter showed at one time.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Reading {
    /// How many calls ended with each outcome.
    pub calls: BTreeMap<Outcome, u64>,
    /// The highest version seen.
    pub highest_seen: Version,
    /// How many calls are in flight.
    pub in_flight: u64,
    /// The times that this node added to calls.
    pub latency: Latency,
    /// Whether the node may be given calls.
    pub readiness: Readiness,
    /// How many bytes came from other nodes.
    pub received: Bytes,
    /// How many attempts after the first there were.
    pub retries: u64,
    /// The rings between the duties.
    pub rings: Vec<Ring>,
    /// How many bytes were sent to other nodes.
    pub sent: Bytes,
    /// The version held; zero when there is none yet.
    pub version_held: Version,
}

/// What the gauge of a ring showed at one time.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Ring {
    /// How many messages the ring holds at the most.
    pub capacity: usize,
    /// How many messages wait.
    pub fill: u64,
    /// The name.
    pub name: &'static str,
    /// How many messages were refused because the ring was full.
    pub refused: u64,
}

impl From<&Gauge> for Ring {
    fn from(gauge: &Gauge) -> Self {
        Self {
            capacity: gauge.capacity(),
            fill: gauge.fill(),
            name: gauge.name(),
            refused: gauge.refused(),
        }
    }
}

impl Meter {
    /// Returns what all counters show now.
    pub fn read(&self) -> Reading {
        Reading {
            calls: Outcome::ALL
                .iter()
                .map(|outcome| (*outcome, self.calls(*outcome)))
                .collect(),
            highest_seen: self.seen(),
            in_flight: self.in_flight(),
            latency: self.latency(),
            readiness: self.readiness(),
            received: total(|kind, reach| self.received_bytes(kind, reach)),
            retries: self.retries(),
            rings: self.rings().iter().map(Ring::from).collect(),
            sent: total(|kind, reach| self.sent_bytes(kind, reach)),
            version_held: self.held(),
        }
    }
}

/// Returns the sum over all kinds of messages.
fn total(bytes: impl Fn(Kind, Reach) -> Bytes) -> Bytes {
    let mut sum = Bytes::default();
    for kind in Kind::ALL {
        for reach in Reach::ALL {
            sum = sum.plus(bytes(*kind, *reach));
        }
    }
    sum
}
