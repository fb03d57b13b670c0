//! Dissemination: which peers are sent a new version or a changed member record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;
use cicadagw_view::View;
use rand::RngExt;
use rand::seq::IteratorRandom;

use super::Core;
use crate::freshness::Freshness;
use crate::{Effect, Member, Message, watchers};

/// How many nodes of each other region are sent a change to relay it there; two, since one of them
/// may have failed.
const RELAYS_PER_REGION: usize = 2;

/// How many of four digests go to nodes of the same region; few go to others, since the links
/// between regions are narrow.
const LOCAL_DIGESTS_OF_FOUR: u32 = 3;

impl Core {
    /// Sends a digest with the new version to this node's children in the distribution tree and to
    /// one random peer; each of them fetches the configuration and announces it in turn.
    pub(super) fn announce_version(&mut self) {
        let children = watchers::children(&self.table, &self.own);
        let random = self.random_peer();
        for to in children.into_iter().chain(random) {
            let digest = self.digest();
            self.effects.push(Effect::Send(to, digest));
        }
    }

    /// Sends a change of this node's own record to all nodes of its region and to some nodes of
    /// each other region, which relay it there. If every node sent to every other one, the updates
    /// would fill the links between regions whenever hundreds of nodes start together.
    pub(super) fn broadcast(&mut self, now: Timestamp) {
        self.own.stamp = self.own.stamp.next();
        self.table.merge(&self.own);
        let own = &self.own;
        let local = |member: &&Member| member.region == own.region && member.node != own.node;
        for member in self.table.iter().filter(local) {
            self.outbound.add(now, &member.node);
        }
        self.queue_relays(now);
        self.push(now);
        self.publish();
    }

    /// Queues this node's record for some nodes of each other region.
    pub(super) fn queue_relays(&mut self, now: Timestamp) {
        let mut regions: BTreeMap<&id::Region, Vec<&id::Node>> = BTreeMap::new();
        for member in self.table.iter() {
            if member.region != self.own.region && !member.is_leaving {
                let nodes = regions.entry(&member.region).or_default();
                nodes.push(&member.node);
            }
        }
        for nodes in regions.into_values() {
            for node in nodes.into_iter().sample(&mut self.rng, RELAYS_PER_REGION) {
                self.outbound.add(now, node);
            }
        }
    }

    /// Relays records from another region to all nodes of this region.
    pub(super) fn relay(&mut self, members: &[Member]) {
        let local = |member: &&Member| {
            member.region == self.own.region && member.node != self.own.node && !member.is_leaving
        };
        let local: Vec<_> = self
            .table
            .iter()
            .filter(local)
            .map(|member| member.gossip)
            .collect();
        for gossip in local {
            let push = Message::Push {
                from: self.own.node.clone(),
                members: members.to_vec(),
                wants_ack: false,
                spread: false,
            };
            self.effects.push(Effect::Send(gossip, push));
        }
    }

    /// Sends this node's current record to the peers that have not acknowledged it.
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

    /// Returns the address of a random peer, usually one of the same region.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let is_local_turn = self.rng.random_range(0..4) < LOCAL_DIGESTS_OF_FOUR;
        let own = &self.own;
        let others = || {
            let all = self.table.iter();
            all.filter(|member| member.node != own.node && !member.is_leaving)
        };
        let local = others()
            .filter(|member| is_local_turn == (member.region == own.region))
            .choose(&mut self.rng);
        let peer = match local {
            Some(peer) => Some(peer),
            None => others().choose(&mut self.rng),
        };
        peer.map(|peer| peer.gossip)
    }

    /// Publishes the configuration and the endpoints for the proxied calls.
    pub(super) fn publish(&mut self) {
        let endpoints = self.table.endpoints();
        if *self.endpoints != endpoints {
            self.endpoints = Arc::new(endpoints);
        }
        self.publish_view();
    }

    /// Publishes the configuration, its age, and the endpoints as last published.
    pub(super) fn publish_view(&mut self) {
        let held = self.freshness.as_ref().and_then(Freshness::held);
        self.effects.push(Effect::Publish(View {
            confirmed_at: held.map(|held| held.as_of),
            snapshot: self.snapshot.clone(),
            departures: self.own.departures.clone(),
            endpoints: self.endpoints.clone(),
            members: self.table.iter().count(),
            quota_parts: self.quota_parts(),
            rollouts: self.rollouts.published(),
        }));
    }
}
