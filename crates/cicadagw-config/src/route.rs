//! Routes.

use cicadagw_unit::id;
use cicadagw_unit::rate::Weight;
use compact_str::CompactString;

/// Which calls go to which cluster, and how they are treated.
///
/// Among the routes that match a call the one with the longest prefix wins, then the one with the
/// most conditions, then the first name.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The cluster that the calls go to.
    pub cluster: id::Cluster,
    /// A request header that must be there with this value.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The host that the call must be for, without port.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<CompactString>,
    /// The method that the call must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<CompactString>,
    /// The policy for the calls.
    pub policy: id::Policy,
    /// What the path begins with; it ends at a `/` or at the end of the path.
    pub prefix: CompactString,
    /// The clusters among which the calls are split; all go to `cluster` if there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Destination>,
}

/// A part of a split.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// The cluster that the calls go to.
    pub cluster: id::Cluster,
    /// How many of the calls go there, relative to the other parts.
    pub weight: Weight,
}

impl Route {
    /// Returns every cluster that calls may go to.
    pub fn clusters(&self) -> impl Iterator<Item = &id::Cluster> {
        let parts = self.split.iter().map(|part| &part.cluster);
        std::iter::once(&self.cluster).chain(parts)
    }
}

/// A condition on a request header.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The name, in lower case.
    pub name: CompactString,
    /// The whole value.
    pub value: CompactString,
}
