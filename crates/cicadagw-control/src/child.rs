//! The children of a node.

use cicadagw_config::Stamp;
use cicadagw_unit::id;
use cicadagw_unit::time::Moment;
use cicadagw_wire::{Hello, Member, Report};

/// A node that hangs below this one.
#[derive(Clone, Debug)]
pub(crate) struct Child {
    pub(crate) domain: id::Domain,
    pub(crate) member: Member,
    /// What it holds, or will once it has taken what was sent.
    pub(crate) held: Stamp,
    pub(crate) heard: Moment,
    pub(crate) report: Option<Report>,
    /// Whether a whole snapshot is on its way to it.
    pub(crate) syncing: bool,
}

impl Child {
    pub(crate) fn new(now: Moment, hello: &Hello) -> Self {
        Self {
            domain: hello.domain.clone(),
            member: hello.member.clone(),
            held: hello.held,
            heard: now,
            report: None,
            syncing: false,
        }
    }

    /// Notes a sign of life; whatever was sent to the child before has been taken.
    pub(crate) fn hear(&mut self, now: Moment) {
        self.heard = now;
        self.syncing = false;
    }
}
