//! The members that a node knows.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use cicadagw_endpoint::{Record, State};
use cicadagw_unit::{Sequence, id};
use cicadagw_view::Endpoints;

use crate::{Member, Part};

/// The members that a node knows, itself included.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: BTreeMap<id::Node, Member>,
}

impl Table {
    /// Takes a record in if it is newer than what is known; tells whether it was.
    pub fn merge(&mut self, member: &Member) -> bool {
        let known = self.members.get(&member.node);
        if known.is_some_and(|known| known.stamp >= member.stamp) {
            return false;
        }
        self.members.insert(member.node.clone(), member.clone());
        true
    }

    /// Returns what is known of a node.
    pub fn get(&self, node: &id::Node) -> Option<&Member> {
        self.members.get(node)
    }

    /// Returns all members, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns a number that two tables share when they hold the same records, and hardly ever else.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for member in self.members.values() {
            (member.node.as_str(), member.stamp).hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Returns such a number for each of `count` parts.
    pub fn digests(&self, count: u16) -> Vec<u64> {
        let mut hashers = vec![DefaultHasher::new(); usize::from(count)];
        for member in self.members.values() {
            let part = Part::of(&member.node, count);
            if let Some(hasher) = hashers.get_mut(usize::from(part.index)) {
                (member.node.as_str(), member.stamp).hash(hasher);
            }
        }
        hashers.iter().map(Hasher::finish).collect()
    }

    /// Returns the endpoints that take work, by service.
    pub fn endpoints(&self) -> Endpoints {
        let mut endpoints = Endpoints::new();
        for member in self.members.values() {
            if let Some(record) = record(member) {
                let list = endpoints.entry(record.service.clone()).or_default();
                list.push(record);
            }
        }
        endpoints
    }
}

/// Returns the endpoint of a member, if it takes work.
fn record(member: &Member) -> Option<Record> {
    let backend = member.backend.as_ref()?;
    if !backend.is_ready || member.is_leaving {
        return None;
    }
    Some(Record {
        address: member.calls,
        domain: member.domain.clone(),
        endpoint: backend.endpoint.clone(),
        link: member.gossip,
        node: member.node.clone(),
        // Where nodes are listed by the platform nobody looks for a parent behind another rack.
        rack: member.domain.as_str().parse().ok()?,
        region: member.region.clone(),
        sequence: Sequence::new(member.stamp.0.wrapping_add(member.stamp.1)),
        service: backend.service.clone(),
        slots: backend.slots,
        state: State::Ready,
    })
}
