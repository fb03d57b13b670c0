//! Whom a node tells of what is new.

use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_unit::time::Moment;
use cicadagw_view::View;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Core;
use crate::{Effect, Message, followers};

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

    /// Tells every other node of a change of this one.
    pub(super) fn tell_all(&mut self, now: Moment) {
        self.own.stamp.1 += 1;
        self.table.merge(&self.own);
        let others = self
            .table
            .iter()
            .filter(|member| member.node != self.own.node);
        for member in others {
            self.outbound.add(now, &member.node);
        }
        self.push(now);
        self.publish();
    }

    /// Sends the newest news of this node to those that have not acknowledged it.
    pub(super) fn push(&mut self, now: Moment) {
        for node in self.outbound.due(now) {
            let Some(member) = self.table.get(&node) else {
                continue;
            };
            let push = Message::Push {
                from: self.own.node.clone(),
                members: vec![self.own.clone()],
                wants_ack: true,
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
