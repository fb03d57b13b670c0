//! What a child sends to its parent.

use cicadagw_endpoint::Record;

use crate::{Member, Report};

/// A message from a child to its parent.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Up {
    /// The child lives; how it and those below it stand.
    Report(Box<Report>),
    /// News of endpoints.
    Endpoints(Vec<Record>),
    /// Nodes below that the parent may not know.
    Members(Vec<Member>),
    /// A delta could not be used; the whole snapshot is wanted.
    WantWhole,
}
