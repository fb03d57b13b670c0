//! The platform-specific parts of a node.

use std::sync::Arc;

use bytes::Bytes;
use cicadagw_config::Snapshot;
use cicadagw_dialect::Dialect;
use cicadagw_finding::Findings;
use cicadagw_platform::Tracked;
use cicadagw_platform::encoding::Encoding;
use cicadagw_rollout::{Entry, Status};

/// The platform-specific parts of a node: the decoding of what comes in and the encoding of what goes
/// out, and nothing else.
#[derive(Clone)]
pub struct Adapter {
    /// The protocol that callers and backend servers speak.
    pub dialect: Arc<dyn Dialect>,
    /// The encoding of calls to the platform and of its responses.
    pub encoding: Arc<dyn Encoding>,
    /// Decodes a configuration from the form in which the platform stores it.
    pub parse_snapshot: fn(&[u8]) -> Result<Snapshot, Findings>,
    /// Decodes an order of a rollout, and its status, from the form in which the platform stores it.
    pub parse_rollout: fn(&Tracked) -> Result<Entry, Findings>,
    /// Encodes the status of an order of a rollout.
    pub render_rollout: fn(&Status) -> Bytes,
}
