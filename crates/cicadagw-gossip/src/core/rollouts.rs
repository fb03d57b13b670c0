//! Rollouts: the orders that this node follows, and what it tells other nodes.

use std::net::SocketAddr;

use cicadagw_platform::{Error, Revision};
use cicadagw_rollout::{Directive, Entry, Phase, Report, Status};
use cicadagw_unit::time::Timestamp;
use cicadagw_unit::{Term, id};
use rand::seq::IteratorRandom;

use super::Core;
use crate::rollouts::Lead;
use crate::{Effect, Message, Notice, Orders, watchers};

/// How many random nodes are told of a change, besides the children in the distribution tree.
const RANDOM_PEERS: usize = 2;

/// How many of the newest rollouts are sent to a peer that may lack some; those that go on are the
/// newest.
const NEWEST_SENT: usize = 2;

/// How many of the other rollouts are sent as well, at random.
const OLDER_SENT: usize = 2;

impl Core {
    /// Follows the orders, takes up those that have no leader, and decides about those that this
    /// node leads.
    pub(super) fn tick_rollouts(&mut self, now: Timestamp) {
        if !self.rollouts.is_enabled {
            return;
        }
        if self.is_watcher || !self.rollouts.led.is_empty() {
            let call = self.rollouts.follower.tick(now, &mut self.rng);
            self.effects.extend(call.map(Effect::Call));
        }
        if self.is_watcher && !self.own.is_leaving {
            self.take_up_orders(now);
        }
        let led: Vec<id::Service> = self.rollouts.led.keys().cloned().collect();
        for service in led {
            self.lead(now, &service);
        }
    }

    /// Processes the orders that the platform has sent.
    pub(super) fn handle_orders(&mut self, now: Timestamp, outcome: Result<Orders, Error>) {
        self.track_platform(now, &outcome);
        let revision = outcome.as_ref().map(|orders| orders.at);
        let follower = &mut self.rollouts.follower;
        let call = follower.answered(now, revision, &mut self.rng);
        self.effects.extend(call.map(Effect::Call));
        let Ok(orders) = outcome else { return };
        if orders.is_complete {
            let listed = |service: &id::Service| {
                let mut entries = orders.entries.iter();
                entries.any(|entry| entry.service == *service)
                    || orders.unreadable.contains(service)
            };
            let known = self.rollouts.iter();
            let missing = known.filter(|directive| directive.status.is_some());
            let missing: Vec<Entry> = missing
                .filter(|directive| !listed(&directive.service))
                .map(|directive| Entry {
                    order: None,
                    service: directive.service.clone(),
                    status: None,
                    term: Term::from(orders.at),
                })
                .collect();
            for entry in missing {
                self.learn_order(now, entry);
            }
        }
        for entry in orders.entries {
            self.learn_order(now, entry);
        }
    }

    /// Processes an order as the platform holds it, with its status.
    pub(super) fn learn_order(&mut self, now: Timestamp, entry: Entry) {
        let known = self.rollouts.entries.get_mut(&entry.service);
        if let Some((seen, known)) = known
            && known.term >= entry.term
        {
            if known.term == entry.term {
                // Read again after a failure of the platform, which the leader may have had as well.
                *seen = now;
            }
            return;
        }
        let known = self.rollouts.entries.get(&entry.service);
        let known = known.and_then(|(_, known)| known.order.as_ref());
        let directive = Directive::of(&entry);
        if known != entry.order.as_ref() {
            let notice = Notice::RolloutOrdered(directive.clone());
            self.effects.push(Effect::Log(notice));
            if directive.status.is_some() && !self.is_service_known(&entry.service) {
                let notice = Notice::RolloutServiceUnknown(entry.service.clone());
                self.effects.push(Effect::Log(notice));
            }
        }
        let leads = |lead: &Lead| {
            let status = entry.current_status();
            let leader = status.and_then(|status| status.leader.as_ref());
            Some(lead.leader.order()) == entry.order.as_ref() && leader == Some(&self.own.node)
        };
        match self.rollouts.led.get_mut(&entry.service) {
            // A write of this node, whose response may have been lost.
            Some(lead) if leads(lead) => {
                lead.term = lead.term.max(entry.term);
                if let Some(status) = entry.current_status() {
                    lead.leader.acknowledge(now, status);
                }
            }
            Some(lead) if lead.term >= entry.term => {}
            Some(_) => self.cease_to_lead(&entry.service),
            None => {}
        }
        let stop = self.lasting_stop(&entry);
        let service = entry.service.clone();
        self.rollouts.entries.insert(service, (now, entry));
        self.learn_rollout(&stop.unwrap_or(directive));
    }

    /// Returns the stop of the rollout of `entry` if it goes on there and must not: a write before a
    /// stop by this node, whose response was lost, does not undo it, and neither does a restore of
    /// the platform's store from a copy of before any stop.
    fn lasting_stop(&self, entry: &Entry) -> Option<Directive> {
        let status = entry
            .current_status()
            .filter(|status| status.is_running())?;
        let known = self.rollouts.get(&entry.service)?;
        let stopped = known.status.as_ref()?;
        let is_own = |status: &Status| status.leader.as_ref() == Some(&self.own.node);
        let is_own = known.stopped && is_own(stopped) && is_own(status);
        let is_restored = Revision::from(known.term).era() < Revision::from(entry.term).era();
        let is_undone = is_restored && known.phase() == Some(Phase::RolledBack);
        let is_same = stopped.started_ms == status.started_ms && stopped.target == status.target;
        (is_same && (is_own || is_undone)).then(|| Directive {
            stopped: true,
            term: entry.term,
            ..known.clone()
        })
    }

    /// Applies what is newer than what this node knows of a rollout, and passes it on.
    pub(super) fn learn_rollout(&mut self, directive: &Directive) {
        if !self.rollouts.is_enabled || !self.rollouts.learn(directive) {
            return;
        }
        let leader = directive.status.as_ref();
        let leader = leader.and_then(|status| status.leader.as_ref());
        let lead = self.rollouts.led.get(&directive.service);
        if leader.is_some_and(|leader| *leader != self.own.node)
            && lead.is_some_and(|lead| directive.term > lead.term)
        {
            // Another node has taken its place, which this one could not read.
            self.cease_to_lead(&directive.service);
        }
        self.publish();
        let children = watchers::children(&self.table, &self.own);
        let mut receivers = children.to_vec();
        for _ in 0..RANDOM_PEERS {
            receivers.extend(self.random_peer());
        }
        for to in receivers {
            self.send_rollout(to, directive.clone());
        }
    }

    fn send_rollout(&mut self, to: SocketAddr, directive: Directive) {
        let message = Message::Rollout {
            directive: Box::new(directive),
        };
        self.effects.push(Effect::Send(to, message));
    }

    /// Compares the digest of the rollouts that a peer knows with that of this node, and sends the
    /// peer what it may lack.
    pub(super) fn compare_rollouts(&mut self, peer: SocketAddr, digest: u64) {
        if !self.rollouts.is_enabled || digest == self.rollouts.digest() {
            return;
        }
        let mut all: Vec<Directive> = self.rollouts.iter().cloned().collect();
        all.sort_by_key(|directive| std::cmp::Reverse(directive.term));
        let older = all.split_off(all.len().min(NEWEST_SENT));
        let older = older.into_iter().sample(&mut self.rng, OLDER_SENT);
        let is_empty = all.is_empty();
        for directive in all.into_iter().chain(older) {
            self.send_rollout(peer, directive);
        }
        if is_empty {
            let own = self.digest();
            self.effects.push(Effect::Send(peer, own));
        }
    }

    /// Takes a report to the leader of the rollout: to this node itself, or to another one.
    pub(super) fn handle_report(&mut self, now: Timestamp, report: Report) {
        if let Some(lead) = self.rollouts.led.get_mut(&report.service) {
            let mut backends = self
                .table
                .iter()
                .filter_map(|member| member.backend.as_ref());
            if backends.any(|backend| backend.endpoint == report.endpoint) {
                lead.leader.report(now, report);
            }
            return;
        }
        let directive = self.rollouts.get(&report.service);
        let status = directive.and_then(|directive| directive.status.as_ref());
        let leader = status.and_then(|status| status.leader.as_ref());
        let is_own = self
            .own
            .backend
            .as_ref()
            .is_some_and(|backend| backend.endpoint == report.endpoint);
        let leader = leader.and_then(|leader| self.table.get(leader));
        if let (Some(leader), true) = (leader, is_own) {
            let message = Message::Report {
                report: Box::new(report),
            };
            self.effects.push(Effect::Send(leader.gossip, message));
        }
    }

    /// Returns whether the configuration has the service; without a configuration, it may.
    fn is_service_known(&self, service: &id::Service) -> bool {
        self.snapshot.as_ref().is_none_or(|snapshot| {
            let mut clusters = snapshot.config.clusters.values();
            clusters.any(|cluster| cluster.service == *service)
        })
    }
}
