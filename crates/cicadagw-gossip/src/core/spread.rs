//! Whom a node tells of what is new.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;
use cicadagw_view::View;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Core;
use crate::{Effect, Member, Message, followers};

/// How many nodes of each other region are told of a change and tell the rest there: one of them may be
/// lost.
const RELAYS: usize = 2;

/// How many digests of four go to nodes of the own region: the links to others are narrow.
const NEAR_OF_FOUR: u32 = 3;

impl Core {
    /// Tells some nodes of a version that is new here; each tells others in turn.
    pub(super) fn pass_on(&mut self) {
        let children = followers::children(&self.table, &self.own);
        let random = self.random_peer();
        for to in children.into_iter().chain(random) {
            let digest = self.digest();
            self.effects.push(Effect::Send(to, digest));
        }
    }

    /// Tells the other nodes of a change of this one: those of the own region, and some of each other
    /// region that tell the rest. From every node to every other, news would fill the links between
    /// regions where hundreds of nodes start together.
    pub(super) fn tell_all(&mut self, now: Timestamp) {
        self.own.stamp.1 += 1;
        self.table.merge(&self.own);
        let own = &self.own;
        let near = |member: &&Member| member.region == own.region && member.node != own.node;
        for member in self.table.iter().filter(near) {
            self.outbound.add(now, &member.node);
        }
        self.tell_relays(now);
        self.push(now);
        self.publish();
    }

    /// Tells some nodes of each other region of this one.
    pub(super) fn tell_relays(&mut self, now: Timestamp) {
        let mut regions: BTreeMap<&id::Region, Vec<&id::Node>> = BTreeMap::new();
        for member in self.table.iter() {
            if member.region != self.own.region && !member.is_leaving {
                let nodes = regions.entry(&member.region).or_default();
                nodes.push(&member.node);
            }
        }
        for nodes in regions.into_values() {
            for node in nodes.into_iter().sample(&mut self.rng, RELAYS) {
                self.outbound.add(now, node);
            }
        }
    }

    /// Passes news from another region on to the nodes of this one.
    pub(super) fn relay(&mut self, members: &[Member]) {
        let near = |member: &&Member| {
            member.region == self.own.region && member.node != self.own.node && !member.is_leaving
        };
        let near: Vec<_> = self
            .table
            .iter()
            .filter(near)
            .map(|member| member.gossip)
            .collect();
        for gossip in near {
            let push = Message::Push {
                from: self.own.node.clone(),
                members: members.to_vec(),
                wants_ack: false,
                spread: false,
            };
            self.effects.push(Effect::Send(gossip, push));
        }
    }

    /// Sends the newest news of this node to those that have not acknowledged it.
    pub(super) fn push(&mut self, now: Timestamp) {
        for node in self.outbound.due(now) {
            let Some(member) = self.table.get(&node) else {
                continue;
            };
            let push = Message::Push {
                from: self.own.node.clone(),
                members: vec![self.own.clone()],
                wants_ack: true,
                spread: member.region != self.own.region,
            };
            self.effects.push(Effect::Send(member.gossip, push));
        }
    }

    /// Returns another node, mostly one of the own region.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let is_near_turn = self.rng.random_range(0..4) < NEAR_OF_FOUR;
        let own = &self.own;
        let others = || self.table.iter().filter(|member| member.node != own.node);
        let near = others()
            .filter(|member| is_near_turn == (member.region == own.region))
            .choose(&mut self.rng);
        let peer = match near {
            Some(peer) => Some(peer),
            None => others().choose(&mut self.rng),
        };
        peer.map(|peer| peer.gossip)
    }

    pub(super) fn publish(&mut self) {
        let endpoints = self.table.endpoints();
        if *self.endpoints != endpoints {
            self.endpoints = Arc::new(endpoints);
        }
        self.effects.push(Effect::Publish(View {
            snapshot: self.snapshot.clone(),
            endpoints: self.endpoints.clone(),
            members: self.table.iter().count(),
        }));
    }
}
