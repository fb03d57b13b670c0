//! The name of the node, which each line has once it is known.

use std::sync::{Arc, OnceLock};

use cicadagw_unit::id;
use logforth::kv::{Key, Value, Visitor};
use logforth::{Diagnostic, Error};

/// The key of the field that holds the name of the node.
const KEY: &str = "node";

/// The name of the node, if it is known already; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Name(Arc<OnceLock<id::Node>>);

impl Name {
    /// Adds the name to the lines that are logged from now on. Only the first name is used.
    pub fn set(&self, node: &id::Node) {
        self.0.get_or_init(|| node.clone());
    }
}

impl From<id::Node> for Name {
    fn from(node: id::Node) -> Self {
        Self(Arc::new(node.into()))
    }
}

impl Diagnostic for Name {
    fn visit(&self, visitor: &mut dyn Visitor) -> Result<(), Error> {
        let Some(node) = self.0.get() else {
            return Ok(());
        };
        visitor.visit(Key::new(KEY).view(), Value::str(node.as_str()).view())
    }
}
