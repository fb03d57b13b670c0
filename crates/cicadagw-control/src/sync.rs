//! Handling of messages from the parent and the children and of fetched versions, and their
//! distribution to the children and the calls duty.

use std::sync::Arc;

use cicadagw_config::{Snapshot, Stamp};
use cicadagw_unit::Version;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_view::View;
use cicadagw_wire::link::LinkId;
use cicadagw_wire::{Down, Up};

use crate::adopt::Verdict;
use crate::endpoints::Origin;
use crate::{Core, Effect, Notice, Scope, fetch};

/// How long a node that has a snapshot must be without a parent before it watches the platform
/// itself.
const ORPHAN_WATCH_DELAY: Span = Span::new(1_000);

impl Core {
    /// Processes a message from the parent.
    pub(crate) fn receive_down(&mut self, now: Timestamp, session: LinkId, message: Down) {
        match message {
            Down::Heartbeat(stamp) => self.snapshots.observe_version(stamp.version),
            Down::Path(path) => self.update_path(now, *path),
            Down::Digests(theirs) => {
                let records = self.registry.difference(&theirs);
                if !records.is_empty() {
                    self.send_up(Up::Endpoints(records));
                }
            }
            Down::Endpoints(records) => self.registry.receive(now, Origin::Link(session), records),
            Down::Census => {
                self.present.push(self.identity.member.node.clone());
                self.take_census();
            }
            Down::Snapshot(snapshot) => self.offer(now, *snapshot),
            Down::Delta(delta) if delta.to.version <= self.snapshots.stamp().version => {}
            Down::Delta(delta) => {
                let Some(held) = self
                    .snapshots
                    .held()
                    .filter(|held| held.stamp == delta.from)
                else {
                    return self.send_up(Up::SnapshotRequest);
                };
                let version = delta.to.version;
                match delta.apply(held) {
                    Ok(snapshot) => self.offer(now, snapshot),
                    Err(error) => {
                        self.refuse(version, error.to_string());
                        self.send_up(Up::SnapshotRequest);
                    }
                }
            }
        }
    }

    /// Processes a message from a child.
    pub(crate) fn receive_up(&mut self, now: Timestamp, session: LinkId, message: Up) {
        match message {
            Up::Endpoints(records) => self.registry.receive(now, Origin::Link(session), records),
            Up::Present(nodes) => self.present.extend(nodes),
            Up::Report(report) => {
                if let Some(child) = self.children.get_mut(session) {
                    child.set_report(*report);
                }
            }
            Up::SnapshotRequest => {
                if let Some(child) = self.children.get_mut(session) {
                    child.held = Stamp::default();
                }
                self.sync_children(now);
            }
        }
    }

    /// Carries out the result of a step of the fetch.
    pub(crate) fn handle_fetch(&mut self, now: Timestamp, outcome: fetch::Outcome) {
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

    /// Watches the platform if this node is the root of the fleet, or has been without a parent for
    /// too long.
    pub(crate) fn watch(&mut self, now: Timestamp) {
        let peer_timeout = self.settings.timing.peer_timeout();
        let delay = match (self.election.scope(), self.snapshots.held()) {
            (Some(Scope::Fleet), _) => Span::default(),
            // Until a failed root is replaced, its former descendants must not miss a change.
            // A node that lost another parent has joined one of its ancestors by then.
            (_, Some(_)) => ORPHAN_WATCH_DELAY,
            (Some(Scope::Domain | Scope::Region), None) => peer_timeout,
            // Many nodes may start together, and only a few of them need to read from the platform.
            (None, None) => peer_timeout.times(3),
        };
        let orphan_time = self.uplink.orphan_time(now);
        let call = self.fetch.tick(now, orphan_time >= Some(delay));
        self.effects.extend(call.map(Effect::Platform));
    }

    /// Adopts or refuses a snapshot that was received or fetched, and sends an adopted one to the
    /// children.
    pub(crate) fn offer(&mut self, now: Timestamp, snapshot: Snapshot) {
        let version = snapshot.stamp.version;
        match self.snapshots.offer(snapshot) {
            Verdict::Adopted => {
                self.effects.push(Effect::Log(Notice::Adopted(version)));
                self.publish();
                self.sync_children(now);
                self.send_report(now);
            }
            Verdict::Refused(reason) => self
                .effects
                .push(Effect::Log(Notice::Refused(version, reason))),
            Verdict::Ignored => {}
        }
    }

    /// Logs and records that `version` could not be obtained, for `reason`.
    pub(crate) fn refuse(&mut self, version: Version, reason: String) {
        self.effects
            .push(Effect::Log(Notice::Refused(version, reason.clone())));
        self.snapshots.refuse(version, reason);
    }

    /// Sends the current snapshot to the children that are behind.
    pub(crate) fn sync_children(&mut self, now: Timestamp) {
        let commands = self.children.sync(now, &self.snapshots);
        self.effects.extend(commands.into_iter().map(Effect::Link));
    }

    /// Publishes the current snapshot and endpoints to the calls duty.
    pub(crate) fn publish(&mut self) {
        let view = View {
            confirmed_at: None,
            departures: cicadagw_endpoint::Departures::default(),
            snapshot: self.snapshots.held().cloned(),
            endpoints: Arc::clone(&self.endpoints),
            members: 0,
            quota_parts: 0,
            rollouts: Arc::default(),
        };
        self.effects.push(Effect::Publish(view));
    }

    /// Sends the pending endpoint updates to the peers, and publishes the endpoints if they have
    /// changed.
    pub(crate) fn propagate_endpoints(&mut self) {
        let commands = self
            .registry
            .take_updates(&self.children.sessions(), self.uplink.joined());
        self.effects.extend(commands.into_iter().map(Effect::Link));
        if let Some(endpoints) = self.registry.take_changed() {
            self.endpoints = endpoints;
            self.publish();
        }
    }
}
