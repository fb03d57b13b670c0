//! Messages from a child to its parent.

use cicadagw_endpoint::Record;
use cicadagw_unit::id;

use crate::Report;

/// A message from a child to its parent.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Up {
    /// New or changed endpoint records.
    Endpoints(Vec<Record>),
    /// The response to a [`crate::Down::Census`]: the nodes of the child's subtree.
    Present(Vec<id::Node>),
    /// Shows that the child is alive, with the aggregate status of its subtree.
    Report(Box<Report>),
    /// A request for the complete snapshot, because a delta could not be applied.
    #[serde(rename = "want-whole")]
    SnapshotRequest,
}
