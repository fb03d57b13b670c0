//! The configuration: whether this node watches the platform, and what it does with the responses.

use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_platform::{Error, Revision};
use cicadagw_unit::time::Timestamp;

use super::Core;
use crate::freshness::Confirmation;
use crate::watchers;
use crate::{Effect, Notice};

impl Core {
    /// Updates whether this node watches the platform.
    pub(super) fn update_watching(&mut self, now: Timestamp) {
        let has_no_configuration = self.snapshot.is_none();
        let must_watch =
            self.watchers
                .must_watch(now, &self.table, &self.own, has_no_configuration);
        if must_watch != self.is_watcher {
            self.is_watcher = must_watch;
            self.effects.push(Effect::Log(Notice::Watching(must_watch)));
        }
    }

    /// Sends a beacon to every other node of the region when it is due, if this node watches the
    /// platform successfully.
    pub(super) fn send_beacon(&mut self, now: Timestamp) {
        if now < self.beacon_due || !self.is_watcher || !self.source.is_synced() {
            return;
        }
        let others: Vec<SocketAddr> = self
            .table
            .iter()
            .filter(|member| member.region == self.own.region && member.node != self.own.node)
            .filter(|member| !member.is_leaving)
            .map(|member| member.gossip)
            .collect();
        self.beacon_due = now.after(watchers::beacon_interval(others.len()));
        for other in others {
            let digest = self.digest();
            self.effects.push(Effect::Send(other, digest));
        }
    }

    /// Processes the response to a read of the configuration that was sent at `at`, and takes in what
    /// it confirms. The response to a watch confirms nothing: it only tells of the time at which the
    /// watch began, which is long past.
    pub(super) fn handle_read(
        &mut self,
        now: Timestamp,
        at: Timestamp,
        outcome: Result<(Revision, Option<Arc<Snapshot>>), Error>,
    ) {
        let confirmation = match &outcome {
            Ok((revision, Some(snapshot))) => Some(Confirmation {
                as_of: self.host_time(at),
                revision: *revision,
                version: snapshot.stamp.version,
            }),
            _ => None,
        };
        self.handle_configuration(now, outcome);
        if let Some(confirmation) = confirmation {
            self.confirm(confirmation);
        }
    }

    /// Processes the response to a read or watch of the configuration.
    pub(super) fn handle_configuration(
        &mut self,
        now: Timestamp,
        outcome: Result<(Revision, Option<Arc<Snapshot>>), Error>,
    ) {
        self.track_platform(now, &outcome);
        if outcome.is_ok() {
            self.confirmed_at = now;
        }
        let (revision, snapshot) = match outcome {
            Ok((revision, snapshot)) => (Ok(revision), snapshot),
            Err(error) => (Err(error), None),
        };
        if let Some(call) = self.source.answered(now, &revision, &mut self.rng) {
            self.effects.push(Effect::Call(call));
        }
        if let Some(snapshot) = snapshot {
            self.adopt(snapshot, false);
        }
    }

    /// Processes the response to a check of the configuration.
    pub(super) fn handle_check(
        &mut self,
        now: Timestamp,
        outcome: Result<(Revision, Option<Arc<Snapshot>>), Error>,
    ) {
        self.track_platform(now, &outcome);
        let (revision, snapshot) = match outcome {
            Ok((revision, snapshot)) => {
                self.confirmed_at = now;
                (Ok(revision), snapshot)
            }
            Err(error) => (Err(error), None),
        };
        if let Some(call) = self.source.checked(now, &revision, &mut self.rng) {
            self.effects.push(Effect::Call(call));
        }
        if let Some(snapshot) = snapshot {
            self.adopt(snapshot, false);
        }
    }

    /// Applies a configuration if its version is above the current one, so that the version never
    /// decreases.
    pub(super) fn adopt(&mut self, snapshot: Arc<Snapshot>, from_node: bool) {
        let version = snapshot.stamp.version;
        if version <= self.version() {
            return;
        }
        self.snapshot = Some(snapshot);
        if let Some(freshness) = &mut self.freshness {
            freshness.adopt(version);
        }
        self.publish();
        self.announce_version();
        let notice = Notice::Adopted { version, from_node };
        self.effects.push(Effect::Log(notice));
    }

    /// Logs when the platform becomes unavailable or available again.
    pub(super) fn track_platform<T>(&mut self, now: Timestamp, outcome: &Result<T, Error>) {
        let reason = match outcome {
            Err(error @ (Error::Unavailable(_) | Error::Unknown(_))) => Some(error),
            _ => None,
        };
        if reason.is_some() == self.is_platform_unavailable {
            return;
        }
        self.is_platform_unavailable = reason.is_some();
        let notice = match reason {
            Some(error) => Notice::PlatformUnavailable {
                reason: error.to_string(),
                confirmed_age: self.confirmed_age(now),
            },
            None => Notice::PlatformAvailable,
        };
        self.effects.push(Effect::Log(notice));
    }
}
