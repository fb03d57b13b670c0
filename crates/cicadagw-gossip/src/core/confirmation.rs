//! Confirmation of the configuration: questions to the platform and to other nodes about whether a
//! newer one exists, and answers to those of other nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_platform::{Error, Revision};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Version, id};
use rand::seq::IteratorRandom;

use super::Core;
use crate::event::Inquiry;
use crate::freshness::{Confirmation, Freshness};
use crate::watchers::{self, WATCHERS_PER_REGION};
use crate::{Call, Effect, Message, Notice};

impl Core {
    /// Returns the time of the host's clock at `now`.
    pub(super) fn host_time(&self, now: Timestamp) -> Timestamp {
        self.origin.after(now.since(Timestamp::default()))
    }

    /// Asks the platform or other nodes whether the configuration is current, when that is due.
    pub(super) fn seek_confirmation(&mut self, now: Timestamp) {
        let at = self.host_time(now);
        let rank = (self.is_watcher && self.source.is_synced())
            .then(|| self.watchers.rank(now, &self.table, &self.own));
        let version = self.version();
        // A node without a configuration reads it first, which confirms it as well.
        let needs_key = |snapshot: &Arc<Snapshot>| snapshot.config.needs_key();
        if !self.snapshot.as_ref().is_some_and(needs_key) {
            return;
        }
        let Some(freshness) = &mut self.freshness else {
            return;
        };
        if freshness.must_ask_platform(at, rank, &mut self.rng) {
            let after = freshness.revision();
            let inquiry = Inquiry { after, at, version };
            let call = Call::ConfirmConfiguration(inquiry);
            self.effects.push(Effect::Call(call));
        }
        let is_relay = || watchers::is_relay(&self.table, &self.own);
        if let Some((number, repeats)) = freshness.question(at, is_relay, &mut self.rng) {
            self.ask_peers(now, number, repeats);
        }
        self.track_staleness(at);
    }

    /// Sends a question to the node that probably has the youngest configuration, a repeated one to
    /// another that may have a younger one, and from the second repetition on to any node as well.
    fn ask_peers(&mut self, now: Timestamp, number: u64, repeats: u32) {
        let mut sources = self.watchers.sources(now, &self.table, &self.own);
        let source = if repeats > 0 || sources.len() > WATCHERS_PER_REGION {
            sources.into_iter().choose(&mut self.rng)
        } else {
            sources.drain(..).next()
        };
        let any = if repeats > 1 || source.is_none() {
            self.random_peer()
        } else {
            None
        };
        for to in source.into_iter().chain(any) {
            let question = Message::Question {
                from: self.own.node.clone(),
                number,
            };
            self.effects.push(Effect::Send(to, question));
        }
    }

    /// Answers a question of another node with the age of this node's configuration.
    pub(super) fn handle_question(&mut self, now: Timestamp, sender: SocketAddr, number: u64) {
        let at = self.host_time(now);
        let held = self.freshness.as_ref().and_then(Freshness::held);
        if let Some(held) = held {
            let answer = Message::Answer {
                age: at.since(held.as_of),
                from: self.own.node.clone(),
                number,
                revision: held.revision,
                version: held.version,
            };
            self.effects.push(Effect::Send(sender, answer));
        }
    }

    /// Processes the answer of another node to a question of this one.
    pub(super) fn handle_answer(
        &mut self,
        now: Timestamp,
        from: &id::Node,
        number: u64,
        age: Span,
        (revision, version): (Revision, Version),
    ) {
        let freshness = self.freshness.as_ref();
        let answered = |freshness: &Freshness| freshness.answered(number, age, revision, version);
        if let Some(confirmation) = freshness.and_then(answered) {
            self.confirm(confirmation);
        }
        let sender = self.table.get(from).map(|sender| sender.calls);
        if let Some(calls) = sender.filter(|_| version > self.version()) {
            self.fetch(now, calls);
        }
    }

    /// Processes the platform's answer to an inquiry.
    pub(super) fn handle_inquiry(
        &mut self,
        now: Timestamp,
        inquiry: Inquiry,
        outcome: Result<(Revision, Option<Arc<Snapshot>>), Error>,
    ) {
        self.track_platform(now, &outcome);
        match outcome {
            Ok((revision, snapshot)) => {
                let newest = snapshot.as_ref().map(|snapshot| snapshot.stamp.version);
                if let Some(snapshot) = snapshot {
                    self.adopt(snapshot, false);
                }
                self.confirm(Confirmation {
                    as_of: inquiry.at,
                    revision,
                    version: newest.unwrap_or(inquiry.version),
                });
            }
            Err(Error::Compacted | Error::Restored) => {
                if let Some(freshness) = &mut self.freshness {
                    freshness.forget_history();
                }
            }
            Err(_) => {
                if let Some(freshness) = &mut self.freshness {
                    freshness.record_failure();
                }
            }
        }
    }

    /// Takes in a confirmation, and publishes it if it makes the configuration younger.
    pub(super) fn confirm(&mut self, confirmation: Confirmation) {
        let own = self.version();
        if let Some(freshness) = &mut self.freshness
            && freshness.confirm(confirmation, own)
        {
            self.publish_view();
        }
    }

    /// Logs when the configuration becomes too old for calls with keys, or is confirmed again.
    fn track_staleness(&mut self, at: Timestamp) {
        let Some(freshness) = &self.freshness else {
            return;
        };
        let age = freshness.age(at);
        let is_stale = freshness.is_stale(at);
        if is_stale != self.is_stale {
            self.is_stale = is_stale;
            self.effects.push(Effect::Log(if is_stale {
                Notice::Stale(age)
            } else {
                Notice::Fresh(age)
            }));
        }
    }
}
