//! A child of this node in the tree.

use cicadagw_config::Stamp;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::{Hello, Member, Report};

/// Maximum time that a whole snapshot counts as in transit. The reports of a child give the lowest
/// version of the child and its descendants: if a descendant stays behind, they never confirm the
/// snapshot.
const SYNC_TIMEOUT: Span = Span::seconds(1);

/// A node whose parent is this one.
#[derive(Clone, Debug)]
pub(crate) struct Child {
    pub(crate) domain: id::Domain,
    pub(crate) member: Member,
    /// Stamp of the child's current snapshot, provided that it has processed the messages sent to
    /// it.
    pub(crate) held: Stamp,
    /// When a message last arrived from the child.
    pub(crate) last_heard: Timestamp,
    /// The last report of the child.
    pub(crate) report: Option<Report>,
    /// When a whole snapshot was sent that the child has not yet confirmed by a report.
    pub(crate) sync_started: Option<Timestamp>,
}

impl Child {
    pub(crate) fn new(now: Timestamp, hello: &Hello) -> Self {
        Self {
            domain: hello.domain.clone(),
            member: hello.member.clone(),
            held: hello.held,
            last_heard: now,
            report: None,
            sync_started: None,
        }
    }

    /// Records that a message arrived from the child.
    pub(crate) fn record_activity(&mut self, now: Timestamp) {
        self.last_heard = now;
    }

    /// Stores a report; one with at least the version sent confirms that a whole snapshot arrived.
    pub(crate) fn set_report(&mut self, report: Report) {
        if report.lowest >= self.held.version {
            self.sync_started = None;
        }
        self.report = Some(report);
    }

    /// Returns whether a whole snapshot is in transit to the child.
    pub(crate) fn is_syncing(&self, now: Timestamp) -> bool {
        self.sync_started
            .is_some_and(|since| now.since(since) < SYNC_TIMEOUT)
    }
}
