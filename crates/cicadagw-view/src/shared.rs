//! The place where the newest view stands.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::View;

/// The newest view, written by one duty and read by the others.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<ArcSwap<View>>);

impl Shared {
    /// Returns the newest view.
    pub fn load(&self) -> Arc<View> {
        self.0.load_full()
    }

    /// Makes `view` the newest one.
    pub fn publish(&self, view: View) {
        self.0.store(Arc::new(view));
    }
}
