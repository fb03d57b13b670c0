//! The state by which calls are routed.

use std::rc::Rc;
use std::sync::Arc;

use cicadagw_call::route::Index;
use cicadagw_config::Edge;
use cicadagw_view::{Endpoints, View};

/// The state by which calls are routed, derived from the view.
#[derive(Clone, Default)]
pub(crate) struct Routing {
    /// The route index; `None` before there is a snapshot.
    pub(crate) index: Option<Rc<Index>>,
    /// Counts the changes of `endpoints`, so that derived state can be refreshed when it is
    /// outdated.
    pub(crate) epoch: u64,
    pub(crate) endpoints: Arc<Endpoints>,
    /// The limits on callers' requests.
    pub(crate) caller_limits: Edge,
    pub(crate) view: Option<Arc<View>>,
}
