//! Responses to requests to the platform and to other nodes.

use cicadagw_endpoint::Departures;
use cicadagw_platform::{Era, Error, Revision};
use cicadagw_unit::time::Timestamp;

use super::Core;
use crate::{Effect, Member, Notice, Reply};

impl Core {
    /// Processes the response to a request to the platform or to another node.
    pub(super) fn handle_reply(&mut self, now: Timestamp, reply: Reply) {
        match reply {
            Reply::Registered(outcome) => self.handle_registered(now, &outcome),
            Reply::Members(outcome) => {
                let is_answered = outcome.is_ok();
                self.track_platform(now, &outcome);
                self.merge_listed(now, outcome.unwrap_or_else(|_| Vec::new()));
                let others = self.table.iter().count() - 1;
                self.registration
                    .listed(now, is_answered, others, &mut self.rng);
            }
            Reply::Read(at, outcome) => self.handle_read(now, at, outcome),
            Reply::Watched(outcome) => self.handle_configuration(now, outcome),
            Reply::Checked(outcome) => self.handle_check(now, outcome),
            Reply::Confirmed(inquiry, outcome) => self.handle_inquiry(now, inquiry, outcome),
            Reply::Rollouts(outcome) => self.handle_orders(now, outcome),
            Reply::RolloutWritten(service, outcome) => {
                self.handle_rollout_written(now, &service, outcome);
            }
            Reply::Restored(era) => self.handle_restored(now, era),
            Reply::Fetched(outcome) => {
                self.fetch_deadline = None;
                match outcome {
                    Ok(snapshot) => self.adopt(snapshot, true),
                    Err(error) => {
                        let notice = Notice::Refused(error.to_string());
                        self.effects.push(Effect::Log(notice));
                    }
                }
            }
        }
    }

    /// Processes the response to a write of this node's record, and tells which departures are stored.
    fn handle_registered(&mut self, now: Timestamp, outcome: &Result<Revision, Error>) {
        self.registration.written(now, outcome, &mut self.rng);
        self.track_platform(now, outcome);
        let Ok(revision) = outcome else { return };
        if revision.era() < self.era {
            // The platform has lost the write since.
            self.registration.restored(now, &mut self.rng);
        } else if self.stored != self.writing {
            self.stored = self.writing.clone();
            self.effects.push(Effect::Stored(self.stored.clone()));
        }
    }

    /// Discards what revisions of earlier eras say about the store.
    fn handle_restored(&mut self, now: Timestamp, era: Era) {
        self.era = self.era.max(era);
        self.stored = Departures::default();
        self.effects.push(Effect::Stored(Departures::default()));
        let notice = Notice::PlatformRestored(era);
        self.effects.push(Effect::Log(notice));
        let call = self.source.restart(now, &mut self.rng);
        self.effects.extend(call.map(Effect::Call));
        if let Some(freshness) = &mut self.freshness {
            freshness.forget_history();
        }
        self.rollouts.follower.list_again();
        self.registration.restored(now, &mut self.rng);
    }

    /// Merges the nodes listed by the platform. The list may be older than the records that nodes
    /// send themselves, so only nodes that are not in the table yet are added. Those that have left are
    /// not: one that starts again introduces itself.
    fn merge_listed(&mut self, now: Timestamp, members: Vec<Member>) {
        let mut has_changed = false;
        for member in members {
            let is_known = self.table.get(&member.node).is_some();
            if member.node == self.own.node {
                self.refute(now, &member);
            } else if !is_known && !member.is_leaving {
                has_changed |= self.merge(now, &member);
            }
        }
        if has_changed {
            self.queue_relays(now);
            self.push(now);
            self.publish();
        }
    }
}
