//! What the admin duty is set up with.

use std::net::TcpListener;

use bon::Builder;
use cicadagw_meter::Meter;
use cicadagw_ring::Sender;
use cicadagw_settings::Level;
use cicadagw_unit::id;
use compact_str::CompactString;
use tokio_util::sync::CancellationToken;

use crate::Request;

/// What the admin duty is set up with.
#[derive(Builder)]
pub struct Setup {
    /// Ends the duty.
    pub cancel: CancellationToken,
    /// The way to the control duty.
    pub control: Sender<Request>,
    /// Where requests come in; bound already, so that a port in use is found before any duty starts.
    pub listener: TcpListener,
    /// What is shown.
    pub meter: Meter,
    /// The name of the node.
    pub node: id::Node,
    /// Changes the log level of the process.
    pub set_level: fn(Level),
    /// What every request must present, if anything.
    pub token: Option<CompactString>,
}
