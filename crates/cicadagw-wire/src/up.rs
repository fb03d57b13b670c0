//! What a child sends to its parent.

use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use smallvec::SmallVec;

use crate::Report;

/// A message from a child to its parent.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Up {
    /// News of endpoints.
    Endpoints(Vec<Record>),
    /// Nodes that joined somewhere below.
    Joined(SmallVec<[id::Node; 4]>),
    /// Nodes that were lost below and did not come back to the same parent.
    Left(SmallVec<[id::Node; 4]>),
    /// The child lives; how it and those below it stand.
    Report(Box<Report>),
    /// A delta could not be used; the whole snapshot is wanted.
    WantWhole,
}
