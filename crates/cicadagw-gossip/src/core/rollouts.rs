//! Rollouts: whether this node leads one, and what it tells other nodes.

use std::net::SocketAddr;

use cicadagw_endpoint::Record;
use cicadagw_platform::Error;
use cicadagw_rollout::{Decision, Directive, Entry, Leader, Phase, Report, Status};
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Term, id};
use rand::seq::IteratorRandom;

use super::Core;
use crate::rollouts::Lead;
use crate::{Call, Effect, Message, Notice, Orders, watchers};

/// How long a leader may go without a write until another node takes its place.
const LEASE: Span = Span::seconds(3);

/// How long a node must run until it takes up an order: a node that has just started knows only
/// itself, and most endpoints a moment later.
const UPTIME_MIN: Span = Span::seconds(3);

/// How much longer each further watcher waits, so that they do not all write at once.
const TURN: Span = Span::new(150);

/// Wait before a write that failed is repeated.
const RETRY: Span = Span::new(300);

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
                    term: Term::new(orders.at.0),
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
    fn learn_order(&mut self, now: Timestamp, entry: Entry) {
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
            Some(lead) if leads(lead) => lead.term = lead.term.max(entry.term),
            Some(lead) if lead.term >= entry.term => {}
            Some(_) => self.cease_to_lead(&entry.service),
            None => {}
        }
        let service = entry.service.clone();
        self.rollouts.entries.insert(service, (now, entry));
        self.learn_rollout(&directive);
    }

    /// Applies what is newer than what this node knows of a rollout, and passes it on.
    pub(super) fn learn_rollout(&mut self, directive: &Directive) {
        if !self.rollouts.is_enabled || !self.rollouts.learn(directive) {
            return;
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
            lead.leader.report(now, report);
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

    /// Takes up the orders that have no leader, or whose leader has not written for [`LEASE`].
    fn take_up_orders(&mut self, now: Timestamp) {
        let is_informed = now.since(Timestamp::default()) >= UPTIME_MIN
            && self.registration.has_listed()
            && self.rollouts.follower.is_synced();
        if !is_informed {
            return;
        }
        let turn = TURN.times(watchers::turn(&self.table, &self.own) as u64);
        let own = &self.own.node;
        let is_due = |(seen, entry): &(Timestamp, Entry)| {
            let status = entry.current_status();
            let leader = status.and_then(|status| status.leader.as_ref());
            let wait = match leader {
                // An earlier process of this node has led it.
                Some(leader) if leader == own => Span::new(0),
                Some(_) => LEASE.plus(turn),
                None => turn,
            };
            entry.order.is_some()
                && status.is_none_or(Status::is_running)
                && now.since(*seen) >= wait
        };
        let due: Vec<Entry> = self
            .rollouts
            .entries
            .values()
            .filter(|known| is_due(known))
            .map(|(_, entry)| entry.clone())
            .filter(|entry| !self.rollouts.led.contains_key(&entry.service))
            .collect();
        for entry in due {
            self.take_up(now, entry);
        }
    }

    /// Begins to lead a rollout; the first write decides whether this node does.
    fn take_up(&mut self, now: Timestamp, entry: Entry) {
        let (Some(order), Some(mut status)) = (entry.order.clone(), Directive::of(&entry).status)
        else {
            return;
        };
        let known = self.rollouts.get(&entry.service);
        if known.is_some_and(|known| known.stopped && known.term >= entry.term) {
            // The earlier leader found the release to be bad, but could not write that.
            status.phase = Phase::RolledBack;
            status.share = Permille::new(0);
        }
        let unix_ms = self.rollouts.unix_ms(now);
        let lead = Lead {
            leader: Leader::new(now, unix_ms, &self.own.node, order, status),
            term: entry.term,
            writing: None,
            retry_at: None,
        };
        let service = entry.service;
        self.rollouts.led.insert(service.clone(), lead);
        let begins = true;
        let notice = Notice::RolloutLed { service, begins };
        self.effects.push(Effect::Log(notice));
    }

    /// Decides about a rollout that this node leads, and writes the decision.
    fn lead(&mut self, now: Timestamp, service: &id::Service) {
        let unix_ms = self.rollouts.unix_ms(now);
        let records = self.records(service);
        let Some(lead) = self.rollouts.led.get_mut(service) else {
            return;
        };
        if lead.writing.is_some() {
            // A bad release is left without waiting for the platform.
            let decision = lead.leader.decide_stop(now, unix_ms);
            if let Some(decision) = decision {
                lead.retry_at = Some(now);
                self.log_decision(service, decision);
                self.stop(service);
            }
            return;
        }
        let mut decision = lead.leader.decide(now, unix_ms, &records);
        if let Some(retry_at) = lead.retry_at {
            if decision.is_none() && now >= retry_at {
                decision = Some(lead.leader.repeat(now));
            } else if decision
                .as_ref()
                .is_none_or(|decision| decision.status.is_running())
            {
                return;
            }
        }
        let Some(decision) = decision else { return };
        lead.retry_at = None;
        lead.writing = Some(decision.status.clone());
        let call = Call::WriteRollout {
            service: service.clone(),
            status: Box::new(decision.status.clone()),
            term: lead.term,
        };
        self.effects.push(Effect::Call(call));
        self.log_decision(service, decision);
        self.stop(service);
    }

    fn log_decision(&mut self, service: &id::Service, decision: Decision) {
        let lead = self.rollouts.led.get(service);
        let exposure = lead.map_or((0, 0), |lead| lead.leader.exposure());
        self.effects.push(Effect::Log(Notice::RolloutDecided {
            service: service.clone(),
            decision: Box::new(decision),
            exposure,
        }));
    }

    /// Tells the nodes that a rollout which this node leads has been stopped, if it has.
    fn stop(&mut self, service: &id::Service) {
        let Some(lead) = self.rollouts.led.get(service) else {
            return;
        };
        let status = lead.leader.status();
        if status.phase == Phase::RolledBack {
            let stop = Directive {
                service: service.clone(),
                status: Some(status.clone()),
                stopped: true,
                term: lead.term,
            };
            self.learn_rollout(&stop);
        }
    }

    /// Processes the outcome of a write of the status of a rollout.
    pub(super) fn handle_rollout_written(
        &mut self,
        now: Timestamp,
        service: &id::Service,
        outcome: Result<Term, Error>,
    ) {
        self.track_platform(now, &outcome);
        let Some(lead) = self.rollouts.led.get_mut(service) else {
            return;
        };
        let Some(status) = lead.writing.take() else {
            return;
        };
        match outcome {
            Ok(term) => {
                lead.term = lead.term.max(term);
                let order = lead.leader.order().clone();
                let is_running = status.is_running();
                let entry = Entry {
                    order: Some(order),
                    service: service.clone(),
                    status: Some(status),
                    term,
                };
                self.learn_order(now, entry);
                if is_running {
                    // It may have been stopped since, which the status just written precedes.
                    self.stop(service);
                } else {
                    self.cease_to_lead(service);
                }
            }
            Err(Error::Conflict) => {
                self.cease_to_lead(service);
                self.rollouts.follower.list_again();
            }
            Err(error) => {
                lead.retry_at = Some(now.after(RETRY));
                let notice = Notice::RolloutNotWritten(service.clone(), error.to_string());
                self.effects.push(Effect::Log(notice));
            }
        }
    }

    fn cease_to_lead(&mut self, service: &id::Service) {
        if self.rollouts.led.remove(service).is_some() {
            self.effects.push(Effect::Log(Notice::RolloutLed {
                service: service.clone(),
                begins: false,
            }));
        }
    }

    /// Returns whether the configuration has the service; without a configuration, it may.
    fn is_service_known(&self, service: &id::Service) -> bool {
        self.snapshot.as_ref().is_none_or(|snapshot| {
            let mut clusters = snapshot.config.clusters.values();
            clusters.any(|cluster| cluster.service == *service)
        })
    }

    /// Returns the endpoints of a service that accept calls.
    fn records(&self, service: &id::Service) -> Vec<Record> {
        let records = self.endpoints.get(service);
        records.cloned().unwrap_or_else(Vec::new)
    }
}
