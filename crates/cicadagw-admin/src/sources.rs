//! The data sources of the pages.

use std::sync::Arc;

use cicadagw_link::Traffic;
use cicadagw_meter::Meter;
use cicadagw_proxy::Stats;
use cicadagw_unit::id;
use tokio_util::sync::CancellationToken;

/// The shared counters and state of the duties that the pages read.
#[derive(Clone)]
pub(crate) struct Sources {
    /// The counters of the calls duty.
    pub(crate) calls: Arc<Stats>,
    /// Returns the number of log lines that were dropped.
    pub(crate) dropped_lines: fn() -> u64,
    /// The counters of the links duty.
    pub(crate) links: Traffic,
    /// The counters of the control and platform duties.
    pub(crate) meter: Meter,
    pub(crate) node: id::Node,
    /// Cancelled once the node drains.
    pub(crate) stop: CancellationToken,
}
