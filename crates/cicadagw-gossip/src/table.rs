//! The membership table.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use cicadagw_endpoint::{Record, State};
use cicadagw_unit::{Sequence, id};
use cicadagw_view::Endpoints;

use crate::{Member, Partition};

/// The member records known to a node, its own included.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: BTreeMap<id::Node, Member>,
}

impl Table {
    /// Inserts a record if it is newer than the one in the table; returns whether it was.
    pub fn merge(&mut self, member: &Member) -> bool {
        let known = self.members.get(&member.node);
        if known.is_some_and(|known| known.stamp >= member.stamp) {
            return false;
        }
        self.members.insert(member.node.clone(), member.clone());
        true
    }

    /// Returns the record of a node.
    pub fn get(&self, node: &id::Node) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns all records, ordered by node name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a hash over all names and stamps: tables with the same names and stamps have equal
    /// digests, and others almost never do.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for member in self.members.values() {
            (member.node.as_str(), member.stamp).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns the digest of each of `count` partitions, in their order.
    pub fn digests(&self, count: u16) -> Vec<u64> {
        let mut hashers = vec![DefaultHasher::new(); usize::from(count)];
        for member in self.members.values() {
            let part = Partition::of(&member.node, count);
            if let Some(hasher) = hashers.get_mut(usize::from(part.index)) {
                (member.node.as_str(), member.stamp).hash(hasher);
            }
        }
        hashers.iter().map(Hasher::finish).collect()
    }

    /// Returns the endpoints that accept requests, by service.
    pub fn endpoints(&self) -> Endpoints {
        let mut endpoints = Endpoints::new();
        for member in self.members.values() {
            if let Some(record) = endpoint_record(member) {
                let list = endpoints.entry(record.service.clone()).or_default();
                list.push(record);
            }
        }
        endpoints
    }
}

/// Returns the endpoint record of a member, if its backend server accepts requests.
fn endpoint_record(member: &Member) -> Option<Record> {
    let backend = member.backend.as_ref()?;
    if !backend.is_ready || member.is_leaving {
        return None;
    }
    Some(Record {
        address: member.calls,
        domain: member.domain.clone(),
        endpoint: backend.endpoint.clone(),
        // Gossiping nodes have no links, so the gossip address fills the field.
        link: member.gossip,
        node: member.node.clone(),
        // No parent is ever chosen by rack among gossiping nodes, so the failure domain stands in
        // for it.
        rack: member.domain.as_str().parse().ok()?,
        region: member.region.clone(),
        // Grows with every change, also over a restart as long as the earlier process published
        // less than one change per millisecond.
        sequence: Sequence::new(member.stamp.0.wrapping_add(member.stamp.1)),
        service: backend.service.clone(),
        slots: backend.slots,
        state: State::Ready,
    })
}
