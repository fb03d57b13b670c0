//! Views.

use std::collections::BTreeMap;
use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_endpoint::Record;
use cicadagw_unit::id;

/// The endpoints that take work, by service.
pub type Endpoints = BTreeMap<id::Service, Vec<Record>>;

/// What calls are decided by.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The snapshot held, once there is one.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The endpoints that take work.
    pub endpoints: Arc<Endpoints>,
    /// How many nodes there are, this one included; zero when it is not known.
    pub members: usize,
}
