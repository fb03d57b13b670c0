//! Members of a failure domain.

use std::net::SocketAddr;

use cicadagw_unit::id;

/// A node as its peers know it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Where it takes links from its peers.
    pub link: SocketAddr,
    /// Its name.
    pub node: id::Node,
    /// The rack it stands in.
    pub rack: id::Rack,
}
