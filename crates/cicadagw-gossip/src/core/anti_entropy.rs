//! Anti-entropy: nodes compare digests of their tables and exchange the records that differ.

use std::net::SocketAddr;

use cicadagw_endpoint::Departures;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Version, id};

use super::Core;
use crate::message::{STAMPS_PER_MESSAGE, split_members};
use crate::partition::PARTITIONS_MAX;
use crate::{Call, Effect, Member, Message, Notice, Partition, Stamp};

/// Minimum time between two fetches of the configuration from other nodes.
const FETCH_INTERVAL_MIN: Span = Span::new(200);

/// Time without a response after which a fetch counts as lost, and the configuration may be fetched
/// from another node.
const FETCH_TIMEOUT: Span = Span::new(500);

impl Core {
    /// Merges the member records of a push, and acknowledges them if the sender wants that; returns
    /// whether any of them was new.
    pub(super) fn handle_push(
        &mut self,
        now: Timestamp,
        from: &id::Node,
        members: &[Member],
        wants_ack: bool,
    ) -> bool {
        let mut has_changed = false;
        for member in members {
            if member.node == self.own.node {
                self.refute(now, member);
            } else {
                has_changed |= self.merge(now, member);
            }
        }
        if wants_ack && let Some(sender) = members.iter().find(|member| member.node == *from) {
            let known = self.table.get(from);
            let departures = known.map_or_else(Departures::default, |known| {
                known.departures.missing_from(&sender.departures)
            });
            let ack = Message::Ack {
                departures,
                from: self.own.node.clone(),
                stamp: sender.stamp,
            };
            self.effects.push(Effect::Send(sender.gossip, ack));
        }
        if has_changed {
            self.publish();
        }
        has_changed
    }

    /// Overrides a record of this node that the current process did not send, such as one of an
    /// earlier process whose clock was ahead, by broadcasting a newer record.
    pub(super) fn refute(&mut self, now: Timestamp, member: &Member) {
        self.restore_departures(now, &member.departures);
        if member.stamp > self.own.stamp && member.stamp.is_plausible() {
            self.own.stamp = member.stamp;
            self.broadcast(now);
        }
    }

    /// Adds the departures from this host that an earlier process of this node had published, and
    /// broadcasts them again.
    pub(super) fn restore_departures(&mut self, now: Timestamp, departures: &Departures) {
        if !self.own.departures.restore(departures) {
            return;
        }
        let notice = Notice::DeparturesRestored(self.own.departures.clone());
        self.effects.push(Effect::Log(notice));
        self.broadcast(now);
    }

    /// Merges a record of another node; returns whether it was newer than the one in the table. A
    /// record that no node can have published is left out.
    pub(super) fn merge(&mut self, now: Timestamp, member: &Member) -> bool {
        if !member.stamp.is_plausible() {
            return false;
        }
        let known = self.table.get(&member.node);
        // A node that is new or has restarted does not know this node, so this node sends its own
        // record to it. Nodes of other regions receive that record from peers in their region.
        let is_new = known.is_none_or(|known| known.stamp.0 != member.stamp.0)
            && member.region == self.own.region;
        let was_active = known.is_some_and(|known| !known.is_leaving);
        if !self.table.merge(member) {
            return false;
        }
        if was_active == member.is_leaving {
            self.change_owners(now, member);
        }
        if is_new {
            self.outbound.add(now, &member.node);
        }
        let notice = Notice::MemberChanged(Box::new(member.clone()));
        self.effects.push(Effect::Log(notice));
        true
    }

    /// Sends this node's record to a peer that it does not know. The peer has known it before a
    /// restart and sends its own record in return, so a node that starts while the platform is
    /// unavailable finds the others through their digests.
    pub(super) fn introduce(&mut self, peer: SocketAddr) {
        let push = Message::Push {
            from: self.own.node.clone(),
            members: vec![self.own.clone()],
            wants_ack: true,
            spread: false,
        };
        self.effects.push(Effect::Send(peer, push));
    }

    /// Compares the digest message of a peer with this node's state: fetches the configuration if
    /// the peer's version is newer, replies with this node's digest message if it is older, and
    /// sends partition digests or stamps if the table digests differ.
    pub(super) fn handle_digest(
        &mut self,
        now: Timestamp,
        from: &id::Node,
        digest: u64,
        version: Version,
    ) {
        let Some(sender) = self.table.get(from) else {
            return;
        };
        let (gossip, calls) = (sender.gossip, sender.calls);
        if version > self.version() {
            self.fetch(now, calls);
        } else if version < self.version() {
            let own = self.digest();
            self.effects.push(Effect::Send(gossip, own));
        }
        if digest != self.table.digest() {
            match Partition::count(self.table.iter().count()) {
                1 => self.send_have(gossip, &Range::of(Partition::WHOLE), true),
                count => {
                    let parts = Message::Parts {
                        from: self.own.node.clone(),
                        digests: self.table.digests(count),
                    };
                    self.effects.push(Effect::Send(gossip, parts));
                }
            }
        }
    }

    /// Compares the partition digests of a peer with those of this node's table, and sends the
    /// stamps in each partition that differs.
    pub(super) fn compare_partitions(&mut self, from: &id::Node, digests: &[u64]) {
        if digests.len() > PARTITIONS_MAX {
            return;
        }
        let Some(gossip) = self.table.get(from).map(|sender| sender.gossip) else {
            return;
        };
        let Ok(count) = u16::try_from(digests.len()) else {
            return;
        };
        let own = self.table.digests(count);
        for (index, (own, theirs)) in (0..).zip(own.iter().zip(digests)) {
            if own != theirs {
                self.send_have(gossip, &Range::of(Partition { index, count }), true);
            }
        }
    }

    /// Sends `from` the records of this node's table that are newer than its `stamps` in `range`.
    /// If `may_answer` is set and some of the stamps are newer than this node's records, also sends
    /// this node's stamps in `range`, so that `from` sends the newer records.
    pub(super) fn compare_range(
        &mut self,
        from: &id::Node,
        range: &Range,
        stamps: &[(id::Node, Stamp)],
        may_answer: bool,
    ) {
        let Some(gossip) = self.table.get(from).map(|sender| sender.gossip) else {
            return;
        };
        let theirs = |node: &id::Node| {
            let found = stamps.iter().find(|(other, _)| other == node);
            found.map(|(_, stamp)| *stamp)
        };
        let newer: Vec<Member> = self
            .table
            .iter()
            .filter(|member| range.contains(&member.node))
            .filter(|member| theirs(&member.node) < Some(member.stamp))
            .cloned()
            .collect();
        for members in split_members(newer) {
            let push = Message::Push {
                from: self.own.node.clone(),
                members,
                wants_ack: false,
                spread: false,
            };
            self.effects.push(Effect::Send(gossip, push));
        }
        let lacks = stamps.iter().any(|(node, stamp)| {
            let held = self.table.get(node).map(|member| member.stamp);
            held < Some(*stamp)
        });
        if may_answer && lacks {
            self.send_have(gossip, range, false);
        }
    }

    /// Sends the stamps of this node's records in `range`, split into consecutive subranges that
    /// fit one message each; without any record there, it sends one message without stamps, so that
    /// the receiver sends its records. `may_answer` tells whether the receiver may reply with its own
    /// stamps.
    fn send_have(&mut self, gossip: SocketAddr, range: &Range, may_answer: bool) {
        let stamps: Vec<(id::Node, Stamp)> = self
            .table
            .iter()
            .filter(|member| range.contains(&member.node))
            .map(|member| (member.node.clone(), member.stamp))
            .collect();
        let mut pieces: Vec<_> = stamps.chunks(STAMPS_PER_MESSAGE).collect();
        if pieces.is_empty() {
            pieces.push(&[]);
        }
        for (index, piece) in pieces.iter().enumerate() {
            // Each subrange begins where the previous one ends, so that no node name falls between
            // two.
            let after = match index {
                0 => range.after.clone(),
                _ => pieces[index - 1].last().map(|(node, _)| node.clone()),
            };
            let last = match pieces.get(index + 1) {
                None => range.last.clone(),
                Some(_) => piece.last().map(|(node, _)| node.clone()),
            };
            let have = Message::Have {
                from: self.own.node.clone(),
                part: range.part,
                after,
                last,
                stamps: piece.to_vec(),
                may_answer,
            };
            self.effects.push(Effect::Send(gossip, have));
        }
    }

    /// Fetches the configuration from the node at `from`, unless a fetch is in flight or was
    /// started within [`FETCH_INTERVAL_MIN`].
    pub(super) fn fetch(&mut self, now: Timestamp, from: SocketAddr) {
        let is_in_flight = self.fetch_deadline.is_some_and(|deadline| now < deadline);
        if is_in_flight || now < self.next_fetch {
            return;
        }
        self.next_fetch = now.after(FETCH_INTERVAL_MIN);
        self.fetch_deadline = Some(now.after(FETCH_TIMEOUT));
        self.effects
            .push(Effect::Call(Call::FetchConfiguration(from)));
    }

    /// Returns the digest message of this node. It is a beacon, with `follows` set, if this node
    /// watches the platform and its [`Source`](crate::source::Source) is synced.
    pub(super) fn digest(&self) -> Message {
        Message::Digest {
            from: self.own.node.clone(),
            digest: self.table.digest(),
            follows: self.is_watcher && self.source.is_synced(),
            version: self.version(),
            rollouts: self.rollouts.digest(),
        }
    }
}

/// A range of node names within a partition.
pub(super) struct Range {
    pub(super) part: Partition,
    /// Exclusive lower bound; unbounded if `None`.
    pub(super) after: Option<id::Node>,
    /// Inclusive upper bound; unbounded if `None`.
    pub(super) last: Option<id::Node>,
}

impl Range {
    /// Returns the range of all names in a partition.
    const fn of(part: Partition) -> Self {
        Self {
            part,
            after: None,
            last: None,
        }
    }

    /// Returns whether `node` belongs to the partition and lies between the bounds.
    fn contains(&self, node: &id::Node) -> bool {
        let is_after = self.after.as_ref().is_none_or(|after| after < node);
        let is_before = self.last.as_ref().is_none_or(|last| node <= last);
        is_after && is_before && self.part.contains(node)
    }
}
