//! The membership table.

use std::collections::BTreeMap;

use cicadagw_endpoint::{Record, State};
use cicadagw_unit::size::Slots;
use cicadagw_unit::{Sequence, id};
use cicadagw_view::Endpoints;

use crate::{Member, Partition, hash};

/// The member records known to a node, its own included.
#[derive(Clone, Debug, Default)]
pub struct Table {
    members: BTreeMap<id::Node, Member>,
    /// The wrapping sum of the hashes of all records, updated with every change.
    digest: u64,
}

impl Table {
    /// Inserts a record if it is newer than the one in the table; returns whether it was. The
    /// departures of the earlier record are kept: a restarted node does not know them.
    pub fn merge(&mut self, member: &Member) -> bool {
        let known = self.members.get(&member.node);
        if known.is_some_and(|known| known.stamp >= member.stamp) {
            return false;
        }
        let mut member = member.clone();
        if let Some(known) = known {
            member.departures.restore(&known.departures);
            let replaced = hash::record(&known.node, known.stamp);
            self.digest = self.digest.wrapping_sub(replaced);
        }
        let added = hash::record(&member.node, member.stamp);
        self.digest = self.digest.wrapping_add(added);
        self.members.insert(member.node.clone(), member);
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

    /// Returns the digest of all names and stamps: tables with the same names and stamps have equal
    /// digests, and others almost never do.
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the digest of each of `count` partitions, in their order.
    pub fn digests(&self, count: u16) -> Vec<u64> {
        let mut digests = vec![0_u64; usize::from(count)];
        for member in self.members.values() {
            let part = Partition::of(&member.node, count);
            if let Some(digest) = digests.get_mut(usize::from(part.index)) {
                *digest = digest.wrapping_add(hash::record(&member.node, member.stamp));
            }
        }
        digests
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
    if member
        .departures
        .contains(&backend.endpoint, backend.started_ms)
    {
        return None;
    }
    // Another writer may have stated a number of slots that would draw all calls to the endpoint.
    if !backend.is_ready || member.is_leaving || backend.slots > Slots::MAX {
        return None;
    }
    Some(Record {
        address: member.calls,
        domain: member.domain.clone(),
        endpoint: backend.endpoint.clone(),
        limit: backend.limit,
        // Gossiping nodes have no links, so the gossip address fills the field.
        link: member.gossip,
        node: member.node.clone(),
        // No parent is ever chosen by rack among gossiping nodes, so the failure domain stands in
        // for it.
        rack: member.domain.as_str().parse().ok()?,
        region: member.region.clone(),
        release: backend.release.clone(),
        // Grows with every change, also over a restart as long as the earlier process published
        // less than one change per millisecond.
        sequence: Sequence::new(member.stamp.0.saturating_add(member.stamp.1)),
        service: backend.service.clone(),
        slots: backend.slots,
        started_ms: backend.started_ms,
        state: State::Ready,
    })
}
