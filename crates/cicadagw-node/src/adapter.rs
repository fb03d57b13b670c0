//! The platform-specific parts of a node.

use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_dialect::Dialect;
use cicadagw_finding::Findings;
use cicadagw_platform::encoding::Encoding;

/// The platform-specific parts of a node: the decoding of everything that comes in, and nothing
/// else.
#[derive(Clone)]
pub struct Adapter {
    /// The protocol that callers and backend servers speak.
    pub dialect: Arc<dyn Dialect>,
    /// The encoding of calls to the platform and of its responses.
    pub encoding: Arc<dyn Encoding>,
    /// Decodes a configuration from the form in which the platform stores it.
    pub parse_snapshot: fn(&[u8]) -> Result<Snapshot, Findings>,
}
