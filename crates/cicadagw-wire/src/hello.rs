//! How a link begins.

use std::collections::BTreeMap;

use cicadagw_config::Stamp;
use cicadagw_unit::time::Span;
use cicadagw_unit::{Digest, id};

use crate::Member;

/// What a node says of itself when it joins a parent.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// Its failure domain.
    pub domain: id::Domain,
    /// The digests of the endpoints it knows, by failure domain.
    pub endpoints: BTreeMap<id::Domain, Digest>,
    /// The snapshot it holds.
    pub held: Stamp,
    /// Who it is.
    pub member: Member,
    /// Its region.
    pub region: id::Region,
}

/// Why a node does not take a child now.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Refusal {
    /// It has as many children as it may; these may have room.
    Full(Vec<Member>),
    /// It sends as many whole snapshots as it may; try again after this span.
    Busy(Span),
    /// It hangs below the node that asks.
    Loop,
}
