//! What a child sends to its parent.

use cicadagw_endpoint::Record;
use cicadagw_unit::id;

use crate::Report;

/// A message from a child to its parent.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Up {
    /// News of endpoints.
    Endpoints(Vec<Record>),
    /// Nodes below that answer a census.
    Present(Vec<id::Node>),
    /// The child lives; how it and those below it stand.
    Report(Box<Report>),
    /// A delta could not be used; the whole snapshot is wanted.
    #[serde(rename = "want-whole")]
    SnapshotRequest,
}
