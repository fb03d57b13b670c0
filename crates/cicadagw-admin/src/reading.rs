//! Snapshots of all counters, for dumps.

use std::collections::BTreeMap;

use cicadagw_link::traffic::{Direction, Kind, Reach};
use cicadagw_meter::Latency;
use cicadagw_proxy::stats::{Counts, State};
use cicadagw_ring::Gauge;
use cicadagw_unit::size::Bytes;

use crate::sources::Sources;

/// A snapshot of all counters. They are not read atomically, so values that belong together may
/// differ slightly.
#[derive(serde::Serialize)]
pub(crate) struct Reading {
    /// The calls of this node, by how they ended.
    calls: Counts,
    /// The backend servers of this host, and the endpoints that calls are sent to.
    calls_state: State,
    /// The latency that this node added to answered calls.
    latency: Latency,
    /// Payload bytes of control messages received from other nodes, by kind of message.
    received: BTreeMap<&'static str, Bytes>,
    /// The rings between the duties.
    rings: Vec<Ring>,
    /// Payload bytes of control messages sent to other nodes, by kind of message.
    sent: BTreeMap<&'static str, Bytes>,
}

/// The values of the gauge of a ring.
#[derive(serde::Serialize)]
struct Ring {
    /// The capacity, in messages.
    capacity: usize,
    /// The number of queued messages.
    fill: u64,
    name: &'static str,
    /// The number of messages refused because the ring was full.
    refused: u64,
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

impl From<&Sources> for Reading {
    fn from(sources: &Sources) -> Self {
        let bytes_by_kind = |direction| {
            let bytes = |kind: &Kind| {
                let [within, across] =
                    Reach::ALL.map(|reach| sources.links.count(direction, reach, *kind).bytes);
                (kind.as_str(), within.plus(across))
            };
            Kind::ALL.iter().map(bytes).collect()
        };
        Self {
            calls: sources.calls.counts(),
            calls_state: sources.calls.state(),
            latency: sources.calls.latency(),
            received: bytes_by_kind(Direction::Received),
            rings: sources.meter.rings().iter().map(Ring::from).collect(),
            sent: bytes_by_kind(Direction::Sent),
        }
    }
}
