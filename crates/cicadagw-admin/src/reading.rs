//! What the duties have counted, for dumps.

use std::collections::BTreeMap;

use cicadagw_link::traffic::{Direction, Kind, Reach};
use cicadagw_meter::Latency;
use cicadagw_proxy::stats::{Counts, State};
use cicadagw_ring::Gauge;
use cicadagw_unit::size::Bytes;

use crate::sources::Sources;

/// What the duties have counted at one time, each count read on its own.
#[derive(serde::Serialize)]
pub(crate) struct Reading {
    /// How calls ended.
    calls: Counts,
    /// The backend servers of the host, and the endpoints that calls go to.
    calls_state: State,
    /// The times that this node added to answered calls.
    latency: Latency,
    /// Bytes received from other nodes, by kind.
    received: BTreeMap<&'static str, Bytes>,
    /// The rings between the duties.
    rings: Vec<Ring>,
    /// Bytes sent to other nodes, by kind.
    sent: BTreeMap<&'static str, Bytes>,
}

/// What the gauge of a ring showed at one time.
#[derive(serde::Serialize)]
struct Ring {
    capacity: usize,
    fill: u64,
    name: &'static str,
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
