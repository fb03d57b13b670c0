//! The state by which calls are routed.

use std::rc::Rc;
use std::sync::Arc;

use cicadagw_call::route::Index;
use cicadagw_config::Edge;
use cicadagw_unit::id;
use cicadagw_view::{Endpoints, Rollouts, View};

/// The state by which calls are routed, derived from the view.
#[derive(Clone, Default)]
pub(crate) struct Routing {
    /// The route index; `None` before there is a snapshot.
    pub(crate) index: Option<Rc<Index>>,
    /// Counts the changes of `endpoints`, so that derived state can be refreshed when it is
    /// outdated.
    pub(crate) epoch: u64,
    pub(crate) endpoints: Arc<Endpoints>,
    /// The rollouts that are ordered.
    pub(crate) rollouts: Arc<Rollouts>,
    /// The limits on callers' requests.
    pub(crate) caller_limits: Edge,
    pub(crate) view: Option<Arc<View>>,
}

impl Routing {
    /// Returns the number of parts that the quota of `account` is divided into, if it has a quota and
    /// quotas are enforced.
    pub(crate) fn quota(&self, account: &id::Account) -> Option<u16> {
        let view = self.view.as_ref()?;
        let snapshot = view.snapshot.as_ref()?;
        let account = snapshot.config.accounts.get(account)?;
        (account.quota.is_some() && view.quota_parts > 0).then_some(view.quota_parts)
    }
}
