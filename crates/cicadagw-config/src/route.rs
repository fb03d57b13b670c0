//! Routes.

use cicadagw_unit::id;
use cicadagw_unit::rate::Weight;
use compact_str::CompactString;

/// A rule that maps the calls it matches to a cluster and a policy.
///
/// Of the routes that match a call, the one with the longest prefix applies, then the one with the
/// most conditions, then the first by name.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The cluster that receives the calls, unless they are split.
    pub cluster: id::Cluster,
    /// A header that a matching request must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<Header>,
    /// The authority that a matching request must have, without port.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<CompactString>,
    /// Whether calls need no key although the configuration declares accounts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_public: bool,
    /// The method that a matching request must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<CompactString>,
    /// The policy that applies to the calls.
    pub policy: id::Policy,
    /// The path prefix of matching requests; it matches whole segments, so it must end at a `/` or
    /// at the end of the path.
    pub prefix: CompactString,
    /// The destinations among which the calls are split; if there are none, all calls go to
    /// `cluster`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Destination>,
}

/// One destination of a split.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Destination {
    /// The cluster that receives the calls of this destination.
    pub cluster: id::Cluster,
    /// The share of the calls, relative to the weights of the other destinations.
    pub weight: Weight,
}

impl Route {
    /// Returns all clusters that the route refers to.
    pub fn clusters(&self) -> impl Iterator<Item = &id::Cluster> {
        let destinations = self.split.iter().map(|destination| &destination.cluster);
        std::iter::once(&self.cluster).chain(destinations)
    }
}

/// A condition that a request has a header with a given value.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The header name, in lower case.
    pub name: CompactString,
    /// The value, which must match completely.
    pub value: CompactString,
}
