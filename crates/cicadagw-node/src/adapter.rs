//! What adapts a node to a platform.

use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_dialect::Dialect;
use cicadagw_finding::Findings;
use cicadagw_platform::encoding::Encoding;

/// What adapts a node to a platform: the decoding of everything that comes in, and nothing else.
#[derive(Clone)]
pub struct Adapter {
    /// What callers and backend servers say.
    pub dialect: Arc<dyn Dialect>,
    /// How the platform's calls and answers stand on the wire.
    pub encoding: Arc<dyn Encoding>,
    /// Reads a configuration as the platform keeps it.
    pub snapshot: fn(&[u8]) -> Result<Snapshot, Findings>,
}
