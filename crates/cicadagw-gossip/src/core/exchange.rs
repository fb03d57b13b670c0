//! What nodes tell each other.

use std::net::SocketAddr;

use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Version, id};

use super::Core;
use crate::message::{MEMBERS_MAX, STAMPS_MAX};
use crate::{Call, Effect, Member, Message, Notice, Part, Stamp};

/// The least time between two fetches of a configuration from other nodes.
const FETCH_EVERY: Span = Span::new(200);

/// After which time without an answer a fetch counts as lost, and another node may be asked.
const FETCH_MAX: Span = Span::new(500);

impl Core {
    /// Takes news in; tells whether any of it was new here.
    pub(super) fn pushed(
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
            let ack = Message::Ack {
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

    /// Answers news of this node that it did not send in this life, such as from a life before whose
    /// clock was ahead, with newer news.
    pub(super) fn refute(&mut self, now: Timestamp, member: &Member) {
        if member.stamp > self.own.stamp {
            self.own.stamp = member.stamp;
            self.tell_all(now);
        }
    }

    pub(super) fn merge(&mut self, now: Timestamp, member: &Member) -> bool {
        let known = self.table.get(&member.node);
        // One that is new here, or starts anew, knows nothing of this node. In another region it learns of
        // it from the nodes there.
        let is_new = known.is_none_or(|known| known.stamp.0 != member.stamp.0)
            && member.region == self.own.region;
        if !self.table.merge(member) {
            return false;
        }
        if is_new {
            self.outbound.add(now, &member.node);
        }
        let note = Notice::MemberChanged(Box::new(member.clone()));
        self.effects.push(Effect::Log(note));
        true
    }

    pub(super) fn digested(
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
            match Part::count(self.table.iter().count()) {
                1 => self.send_have(gossip, &Range::of(Part::WHOLE), true),
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

    /// Sends the sender of the digests of its parts what is held of those that differ.
    pub(super) fn compare_parts(&mut self, from: &id::Node, digests: &[u64]) {
        let Some(gossip) = self.table.get(from).map(|sender| sender.gossip) else {
            return;
        };
        let Ok(count) = u16::try_from(digests.len()) else {
            return;
        };
        let own = self.table.digests(count);
        for (index, (own, theirs)) in (0..).zip(own.iter().zip(digests)) {
            if own != theirs {
                self.send_have(gossip, &Range::of(Part { index, count }), true);
            }
        }
    }

    /// Sends the sender of a list what it lacks of the range, and asks for what is lacking here.
    pub(super) fn compare(
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
            .filter(|member| range.holds(&member.node))
            .filter(|member| theirs(&member.node) < Some(member.stamp))
            .cloned()
            .collect();
        for members in newer.chunks(MEMBERS_MAX) {
            let push = Message::Push {
                from: self.own.node.clone(),
                members: members.to_vec(),
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

    /// Sends what is held of a range, in pieces of ranges that join.
    fn send_have(&mut self, gossip: SocketAddr, range: &Range, may_answer: bool) {
        let stamps: Vec<(id::Node, Stamp)> = self
            .table
            .iter()
            .filter(|member| range.holds(&member.node))
            .map(|member| (member.node.clone(), member.stamp))
            .collect();
        let pieces: Vec<_> = stamps.chunks(STAMPS_MAX).collect();
        for (index, piece) in pieces.iter().enumerate() {
            // A range begins where the one before ends, so that no name falls between two.
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

    pub(super) fn fetch(&mut self, now: Timestamp, from: SocketAddr) {
        let is_under_way = self.fetch_until.is_some_and(|until| now < until);
        if is_under_way || now < self.fetch_due {
            return;
        }
        self.fetch_due = now.after(FETCH_EVERY);
        self.fetch_until = Some(now.after(FETCH_MAX));
        self.effects.push(Effect::Call(Call::Fetch(from)));
    }

    pub(super) fn digest(&self) -> Message {
        Message::Digest {
            from: self.own.node.clone(),
            digest: self.table.digest(),
            follows: self.is_follower && self.source.is_following(),
            version: self.version(),
        }
    }
}

/// A range of the names of a part.
pub(super) struct Range {
    pub(super) part: Part,
    /// The name after which it begins.
    pub(super) after: Option<id::Node>,
    /// Its last name.
    pub(super) last: Option<id::Node>,
}

impl Range {
    const fn of(part: Part) -> Self {
        Self {
            part,
            after: None,
            last: None,
        }
    }

    fn holds(&self, node: &id::Node) -> bool {
        let is_after = self.after.as_ref().is_none_or(|after| after < node);
        let is_before = self.last.as_ref().is_none_or(|last| node <= last);
        is_after && is_before && self.part.holds(node)
    }
}
