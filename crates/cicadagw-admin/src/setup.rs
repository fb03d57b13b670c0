//! The parameters of the admin duty.

use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use cicadagw_link::Traffic;
use cicadagw_meter::Meter;
use cicadagw_proxy::Stats;
use cicadagw_ring::Sender;
use cicadagw_settings::Level;
use cicadagw_unit::id;
use compact_str::CompactString;
use tokio_util::sync::CancellationToken;

use crate::Request;

/// The inputs of [`run`](crate::run).
#[derive(Builder)]
pub struct Setup {
    /// The listen address of the admin pages.
    pub address: SocketAddr,
    /// The counters of the calls duty.
    pub calls: Arc<Stats>,
    /// Stops the duty.
    pub cancel: CancellationToken,
    /// The ring of requests to the control or gossip duty.
    pub control: Sender<Request>,
    /// The counters of the links duty.
    pub links: Traffic,
    /// A listen address that serves only metrics, and requires no token.
    pub metrics: Option<SocketAddr>,
    /// The counters of the control and platform duties, and the gauges of the rings.
    pub meter: Meter,
    /// The id of the node.
    pub node: id::Node,
    /// Sets the log level of the process.
    pub set_level: fn(Level),
    /// Returns the number of log lines that were dropped.
    #[builder(default = || 0)]
    pub dropped_lines: fn() -> u64,
    /// Cancelled when the node begins to drain.
    pub stop: CancellationToken,
    /// The bearer token that every other request must present, if any.
    pub token: Option<CompactString>,
}
