//! The children of a node.

use cicadagw_config::Stamp;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::{Hello, Member, Report};

/// How long a whole snapshot counts as on its way at the most; nodes further below may stay behind.
const SYNC_MAX: Span = Span::seconds(1);

/// A node that hangs below this one.
#[derive(Clone, Debug)]
pub(crate) struct Child {
    pub(crate) domain: id::Domain,
    pub(crate) member: Member,
    /// What it holds, or will once it has taken what was sent.
    pub(crate) held: Stamp,
    pub(crate) heard: Timestamp,
    pub(crate) report: Option<Report>,
    /// When a whole snapshot was sent that it has not yet reported to hold.
    pub(crate) syncing: Option<Timestamp>,
}

impl Child {
    pub(crate) fn new(now: Timestamp, hello: &Hello) -> Self {
        Self {
            domain: hello.domain.clone(),
            member: hello.member.clone(),
            held: hello.held,
            heard: now,
            report: None,
            syncing: None,
        }
    }

    /// Notes a sign of life.
    pub(crate) fn hear(&mut self, now: Timestamp) {
        self.heard = now;
    }

    /// Takes a report; one that shows the version sent ends the sync.
    pub(crate) fn take_report(&mut self, report: Report) {
        if report.lowest >= self.held.version {
            self.syncing = None;
        }
        self.report = Some(report);
    }

    /// Tells whether a whole snapshot is on its way to it.
    pub(crate) fn is_syncing(&self, now: Timestamp) -> bool {
        self.syncing
            .is_some_and(|since| now.since(since) < SYNC_MAX)
    }
}
