//! Orders of operators.

use cicadagw_unit::time::Span;
use cicadagw_unit::{Term, id};

use crate::Status;

/// An operator's order to move a service's calls to backend servers of a release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The time within which the rollout is to be done.
    pub duration: Span,
    /// The service.
    pub service: id::Service,
    /// The release that is to get the calls.
    pub target: id::Release,
}

/// What the platform stores about the rollout of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The order; `None` if it has been withdrawn.
    pub order: Option<Order>,
    /// The service.
    pub service: id::Service,
    /// The last status that a leader has written, which may belong to an earlier order.
    pub status: Option<Status>,
    /// The platform's revision of the entry.
    pub term: Term,
}

impl Entry {
    /// Returns the status of the order, or `None` if the last one belongs to an earlier order.
    pub fn current_status(&self) -> Option<&Status> {
        let order = self.order.as_ref()?;
        let status = self.status.as_ref()?;
        status.belongs_to(order).then_some(status)
    }
}
