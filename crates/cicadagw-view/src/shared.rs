//! The handle through which threads share the newest view.

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::View;

/// The newest view, published by one thread and loaded by the others; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Shared(Arc<ArcSwap<View>>);

impl Shared {
    /// Returns the newest view.
    pub fn load(&self) -> Arc<View> {
        self.0.load_full()
    }

    /// Makes `view` the newest view; a view that was loaded before stays valid.
    pub fn publish(&self, view: View) {
        self.0.store(Arc::new(view));
    }
}
