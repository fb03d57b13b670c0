//! What the admin duty is set up with.

use std::net::TcpListener;
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

/// What the admin duty is set up with.
#[derive(Builder)]
pub struct Setup {
    /// What the calls duty counts.
    pub calls: Arc<Stats>,
    /// Ends the duty.
    pub cancel: CancellationToken,
    /// The way to the control duty.
    pub control: Sender<Request>,
    /// What the links duty counts.
    pub links: Traffic,
    /// Where requests come in; bound already, so that a port in use is found before any duty starts.
    pub listener: TcpListener,
    /// Where metrics alone are served, to everyone.
    pub metrics: Option<TcpListener>,
    /// What the control and platform duties count.
    pub meter: Meter,
    /// The name of the node.
    pub node: id::Node,
    /// Changes the log level of the process.
    pub set_level: fn(Level),
    /// Cancelled when the node begins to drain.
    pub stop: CancellationToken,
    /// What every request must present, if anything.
    pub token: Option<CompactString>,
}
