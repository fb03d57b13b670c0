//! What the pages are made of.

use std::sync::Arc;

use cicadagw_link::Traffic;
use cicadagw_meter::Meter;
use cicadagw_proxy::Stats;
use cicadagw_unit::id;
use tokio_util::sync::CancellationToken;

/// What each duty counts, as the pages read it.
#[derive(Clone)]
pub(crate) struct Sources {
    pub(crate) calls: Arc<Stats>,
    pub(crate) links: Traffic,
    pub(crate) meter: Meter,
    pub(crate) node: id::Node,
    pub(crate) stop: CancellationToken,
}
