//! What a node takes from its neighbours and the platform, and passes on.

use std::sync::Arc;

use cicadagw_config::{Snapshot, Stamp};
use cicadagw_unit::Version;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::View;
use cicadagw_wire::link::Session;
use cicadagw_wire::{Down, Up};

use crate::adopt::Verdict;
use crate::endpoints::Source;
use crate::{Core, Effect, Notice, Rank, fetch};

/// How long a node that holds a snapshot is without a parent before it watches the platform itself.
const ORPHAN_PATIENCE: Span = Span::new(1_000);

impl Core {
    pub(crate) fn take_down(&mut self, now: Timestamp, session: Session, message: Down) {
        match message {
            Down::Heartbeat(stamp) => self.holder.hear_of(stamp.version),
            Down::Path(path) => self.take_path(now, *path),
            Down::Digests(theirs) => {
                let records = self.registry.difference(&theirs);
                if !records.is_empty() {
                    self.up(Up::Endpoints(records));
                }
            }
            Down::Endpoints(records) => self.registry.learn(now, Source::Link(session), records),
            Down::Census => {
                self.present.push(self.identity.member.node.clone());
                self.take_census();
            }
            Down::Snapshot(snapshot) => self.offer(now, *snapshot),
            Down::Delta(delta) if delta.to.version <= self.holder.stamp().version => {}
            Down::Delta(delta) => {
                let Some(held) = self.holder.held().filter(|held| held.stamp == delta.from) else {
                    return self.up(Up::SnapshotRequest);
                };
                let version = delta.to.version;
                match delta.apply(held) {
                    Ok(snapshot) => self.offer(now, snapshot),
                    Err(error) => {
                        self.refuse(version, error.to_string());
                        self.up(Up::SnapshotRequest);
                    }
                }
            }
        }
    }

    pub(crate) fn take_up(&mut self, now: Timestamp, session: Session, message: Up) {
        match message {
            Up::Endpoints(records) => self.registry.learn(now, Source::Link(session), records),
            Up::Present(nodes) => self.present.extend(nodes),
            Up::Report(report) => {
                if let Some(child) = self.children.get_mut(session) {
                    child.take_report(*report);
                }
            }
            Up::SnapshotRequest => {
                if let Some(child) = self.children.get_mut(session) {
                    child.held = Stamp::default();
                }
                self.bring_up(now);
            }
        }
    }

    pub(crate) fn fetched(&mut self, now: Timestamp, outcome: fetch::Outcome) {
        match outcome {
            fetch::Outcome::Nothing => {}
            fetch::Outcome::Calls(calls) => {
                self.effects.extend(calls.into_iter().map(Effect::Platform));
            }
            fetch::Outcome::Offer(snapshot) => self.offer(now, *snapshot),
            fetch::Outcome::Refused(version, reason) => self.refuse(version, reason),
        }
        self.watch(now);
    }

    /// Watches the platform while nothing stands above this node, or nothing was found for long.
    pub(crate) fn watch(&mut self, now: Timestamp) {
        let silence = self.settings.timing.peer_timeout();
        let patience = match (self.election.rank(), self.holder.held()) {
            (Some(Rank::Fleet), _) => Span::default(),
            // Until a lost root is followed by another one, those that hung below it must not miss
            // a change; a node that lost another parent has climbed past it by then.
            (_, Some(_)) => ORPHAN_PATIENCE,
            (Some(Rank::Domain | Rank::Region), None) => silence,
            // Many nodes may start at once, and few of them need the platform.
            (None, None) => silence.times(3),
        };
        let orphaned = self.uplink.orphaned(now);
        let call = self.fetch.tick(now, orphaned >= Some(patience));
        self.effects.extend(call.map(Effect::Platform));
    }

    pub(crate) fn offer(&mut self, now: Timestamp, snapshot: Snapshot) {
        let version = snapshot.stamp.version;
        match self.holder.offer(snapshot) {
            Verdict::Adopted => {
                self.effects.push(Effect::Log(Notice::Adopted(version)));
                self.publish();
                self.bring_up(now);
                self.send_report(now);
            }
            Verdict::Refused(reason) => self
                .effects
                .push(Effect::Log(Notice::Refused(version, reason))),
            Verdict::Ignored => {}
        }
    }

    pub(crate) fn refuse(&mut self, version: Version, reason: String) {
        self.effects
            .push(Effect::Log(Notice::Refused(version, reason.clone())));
        self.holder.refuse(version, reason);
    }

    pub(crate) fn bring_up(&mut self, now: Timestamp) {
        let commands = self.children.bring_up(now, &self.holder);
        self.effects.extend(commands.into_iter().map(Effect::Link));
    }

    pub(crate) fn publish(&mut self) {
        let view = View {
            snapshot: self.holder.held().cloned(),
            endpoints: Arc::clone(&self.endpoints),
            members: 0,
        };
        self.effects.push(Effect::Publish(view));
    }

    pub(crate) fn spread(&mut self) {
        let commands = self
            .registry
            .spread(&self.children.sessions(), self.uplink.joined());
        self.effects.extend(commands.into_iter().map(Effect::Link));
        if let Some(endpoints) = self.registry.take_changed() {
            self.endpoints = endpoints;
            self.publish();
        }
    }
}
