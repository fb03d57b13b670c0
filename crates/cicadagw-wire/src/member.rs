//! The identity and the address of a node.

use std::net::SocketAddr;

use cicadagw_unit::id;

/// The identity of a node and the address at which its peers reach it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The address at which the node accepts links from its peers.
    pub link: SocketAddr,
    /// The name of the node.
    pub node: id::Node,
    /// The rack of the node's host.
    pub rack: id::Rack,
}
