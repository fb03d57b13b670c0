//! The handshake that opens a link.

use std::collections::BTreeMap;

use cicadagw_config::Stamp;
use cicadagw_unit::time::Span;
use cicadagw_unit::{Digest, id};

use crate::Member;

/// The first message of a node to the parent that it asks to join.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// The failure domain of the node.
    pub domain: id::Domain,
    /// The digests of the node's endpoint table, by failure domain.
    pub endpoints: BTreeMap<id::Domain, Digest>,
    /// The stamp of the snapshot that the node holds.
    pub held: Stamp,
    /// The identity and the link address of the node.
    pub member: Member,
    /// The region of the node.
    pub region: id::Region,
}

/// The reason why a node does not accept a child.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Refusal {
    /// The node has its maximum number of children; the child may try these nodes instead.
    Full(Vec<Member>),
    /// The node sends its maximum number of concurrent snapshots; the child may try again after
    /// this duration.
    Busy(Span),
    /// The node is a descendant of the child, so that accepting it would form a loop.
    Loop,
}
