//! Rollouts: the orders that this node takes up, what it decides about them, and the writes of that.

use cicadagw_endpoint::Record;
use cicadagw_platform::Error;
use cicadagw_rollout::{Decision, Directive, Entry, Leader, Phase, Status};
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Term, id};

use super::Core;
use crate::rollouts::Lead;
use crate::{Call, Effect, Notice, watchers};

/// How long a leader may go without a write until another node takes its place.
const LEASE: Span = Span::seconds(3);

/// How long a node must run until it takes up an order: a node that has just started knows only
/// itself, and most endpoints a moment later.
const UPTIME_MIN: Span = Span::seconds(3);

/// How much longer each further watcher waits, so that they do not all write at once.
const TURN: Span = Span::new(150);

/// Wait before a write that failed is repeated.
const RETRY: Span = Span::new(300);

impl Core {
    /// Takes up the orders that have no leader, or whose leader has not written for [`LEASE`].
    pub(super) fn take_up_orders(&mut self, now: Timestamp) {
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
            let known = self.rollouts.get(&entry.service);
            // Another node has written since, which this one could not read.
            let is_outdated = known.is_some_and(|known| known.term > entry.term);
            let refused = self.rollouts.refused.get(&entry.service);
            let is_refused =
                refused.is_some_and(|(at, term)| *term == entry.term && now.since(*at) < LEASE);
            entry.order.is_some()
                && !is_outdated
                && !is_refused
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
    pub(super) fn lead(&mut self, now: Timestamp, service: &id::Service) {
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
        let decision = match lead.retry_at {
            None => lead.leader.decide(now, unix_ms, &records),
            // Nothing but a stop is decided until the decision before is written.
            Some(retry_at) => match lead.leader.decide_stop(now, unix_ms) {
                None if now >= retry_at => Some(lead.leader.repeat(now)),
                stop => stop,
            },
        };
        let Some(decision) = decision else { return };
        lead.retry_at = None;
        lead.writing = Some((decision.status.clone(), lead.term));
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
    pub(super) fn stop(&mut self, service: &id::Service) {
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
        let Some((status, condition)) = lead.writing.take() else {
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
            Err(Error::Conflict | Error::Restored) => {
                self.cease_to_lead(service);
                let refused = (now, condition);
                self.rollouts.refused.insert(service.clone(), refused);
                self.rollouts.follower.list_again();
            }
            Err(error) => {
                lead.retry_at = Some(now.after(RETRY));
                let notice = Notice::RolloutNotWritten(service.clone(), error.to_string());
                self.effects.push(Effect::Log(notice));
            }
        }
    }

    pub(super) fn cease_to_lead(&mut self, service: &id::Service) {
        if self.rollouts.led.remove(service).is_some() {
            self.effects.push(Effect::Log(Notice::RolloutLed {
                service: service.clone(),
                begins: false,
            }));
        }
    }

    /// Returns the endpoints of a service that accept calls.
    fn records(&self, service: &id::Service) -> Vec<Record> {
        let records = self.endpoints.get(service);
        records.cloned().unwrap_or_else(Vec::new)
    }
}
