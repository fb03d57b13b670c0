//! Counts calls in flight.

use std::rc::Rc;

use crate::node::Node;

/// Counts a call as in flight until it is dropped.
pub(crate) struct CallGuard(Rc<Node>);

impl CallGuard {
    pub(crate) fn new(node: &Rc<Node>) -> Self {
        Self(node.clone())
    }
}

impl std::fmt::Debug for CallGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallGuard").finish_non_exhaustive()
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.end_call();
    }
}
