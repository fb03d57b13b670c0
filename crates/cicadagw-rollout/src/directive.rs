//! What nodes choose backend servers by.

use cicadagw_endpoint::Record;
use cicadagw_unit::{Term, id};

use crate::{Entry, Phase, Status};

/// What nodes choose a service's backend servers by while a rollout is ordered. It travels between
/// nodes, and the one with the higher precedence replaces the other.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Directive {
    /// The service.
    pub service: id::Service,
    /// The status of the order; `None` if the order has been withdrawn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
    /// Whether the leader has stopped the rollout without waiting for the platform.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub stopped: bool,
    /// The platform's revision of the status.
    #[serde(flatten)]
    pub term: Term,
}

/// The part that a backend server has in a rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Group {
    /// It runs another release than the target.
    Base,
    /// It gets no calls.
    Excluded,
    /// It runs the target release.
    Target,
}

impl Directive {
    /// Returns the directive that follows from an entry of the platform. The target of an order that
    /// no leader has taken up gets no calls.
    pub fn of(entry: &Entry) -> Self {
        let status = entry.order.as_ref().map(|order| {
            let current = entry.current_status().cloned();
            current.unwrap_or_else(|| Status::noticed(order, entry.status.as_ref()))
        });
        Self {
            service: entry.service.clone(),
            status,
            stopped: false,
            term: entry.term,
        }
    }

    /// Returns the order of directives for one service. Only a stop precedes what the platform holds
    /// under the same term, so a leader that another one has replaced can raise nothing.
    pub const fn precedence(&self) -> (Term, bool) {
        (self.term, self.stopped)
    }

    /// Returns the phase; `None` if the order has been withdrawn.
    pub fn phase(&self) -> Option<Phase> {
        match &self.status {
            Some(_) if self.stopped => Some(Phase::RolledBack),
            Some(status) => Some(status.phase),
            None => None,
        }
    }

    /// Returns whether the rollout goes on.
    pub fn is_running(&self) -> bool {
        let status = self.status.as_ref();
        !self.stopped && status.is_some_and(Status::is_running)
    }

    /// Returns the part of the backend server of `record`.
    pub fn group(&self, record: &Record) -> Group {
        self.group_of(record.release.as_ref(), record.started_ms)
    }

    /// Returns the part of a backend server that runs `release` and started at `started_ms`.
    ///
    /// After a rollout is done, backend servers of other releases that start later are no part of
    /// it: they belong to whatever replaces the target.
    pub fn group_of(&self, release: Option<&id::Release>, started_ms: u64) -> Group {
        let Some(status) = &self.status else {
            return Group::Base;
        };
        let is_target = release == Some(&status.target);
        let is_unproven = release.is_some_and(|release| status.unproven.contains(release));
        match self.phase() {
            Some(Phase::Done) if is_target => Group::Base,
            Some(Phase::Done) if started_ms < status.since_ms => Group::Excluded,
            Some(Phase::Done) | None => Group::Base,
            Some(Phase::RolledBack) if is_target || is_unproven => Group::Excluded,
            Some(_) if is_target => Group::Target,
            Some(_) if is_unproven => Group::Excluded,
            Some(_) => Group::Base,
        }
    }

    /// Returns whether the node beside a backend server refuses calls to it: either the last calls
    /// are being moved away from it, or it must get none. Calls that a node has sent before it heard
    /// of that are then sent elsewhere.
    pub fn refuses(&self, release: Option<&id::Release>, started_ms: u64) -> bool {
        match self.group_of(release, started_ms) {
            Group::Excluded => true,
            Group::Base => self.phase() == Some(Phase::Closing),
            Group::Target => false,
        }
    }
}
