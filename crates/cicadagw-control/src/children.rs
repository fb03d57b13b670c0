//! The children of a node, and the snapshots sent to them: a delta if this node still has the
//! snapshot to which the child can apply it, and the whole snapshot otherwise.

use std::collections::BTreeMap;
use std::sync::Arc;

use cicadagw_config::{Delta, Stamp};
use cicadagw_settings::Budget;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::link::{Command, LinkId};
use cicadagw_wire::{Down, Hello, Member, Refusal, Report};

use crate::adopt::Snapshots;
use crate::child::Child;

/// How long a child must wait to join again when too many whole snapshots are in transit.
pub(crate) const BUSY_RETRY_WAIT: Span = Span::new(200);

/// The children of this node, by link.
#[derive(Clone, Debug, Default)]
pub(crate) struct Children {
    children: BTreeMap<LinkId, Child>,
}

impl Children {
    /// Returns the links to all children.
    pub(crate) fn sessions(&self) -> Vec<LinkId> {
        self.children.keys().copied().collect()
    }

    /// Returns the child at the other end of a link.
    pub(crate) fn get_mut(&mut self, session: LinkId) -> Option<&mut Child> {
        self.children.get_mut(&session)
    }

    /// Returns name, rack and link address of every child.
    pub(crate) fn members(&self) -> Vec<Member> {
        self.children
            .values()
            .map(|child| child.member.clone())
            .collect()
    }

    /// Returns the children in `domain`.
    pub(crate) fn in_domain(&self, domain: &id::Domain) -> impl Iterator<Item = &Child> {
        self.children
            .values()
            .filter(move |child| child.domain == *domain)
    }

    /// Returns the children in `domain` that have reported, with their reports.
    pub(crate) fn reports(&self, domain: &id::Domain) -> impl Iterator<Item = (&Member, &Report)> {
        self.in_domain(domain)
            .filter_map(|child| Some((&child.member, child.report.as_ref()?)))
    }

    /// Returns the links to the children in `domain`.
    pub(crate) fn sessions_in_domain(&self, domain: &id::Domain) -> Vec<LinkId> {
        let links = self
            .children
            .iter()
            .filter(|(_, child)| child.domain == *domain);
        links.map(|(session, _)| *session).collect()
    }

    /// Returns why the node cannot accept a child, if it cannot.
    pub(crate) fn refusal(
        &self,
        hello: &Hello,
        domain: &id::Domain,
        snapshots: &Snapshots,
        budget: &Budget,
        now: Timestamp,
    ) -> Option<Refusal> {
        // The limit does not apply to roots of other failure domains: they are few and have no
        // other parent to join.
        let in_domain: Vec<_> = self.in_domain(domain).collect();
        let limit = usize::try_from(budget.fanout.get()).unwrap_or(usize::MAX);
        if hello.domain == *domain && in_domain.len() >= limit {
            return Some(Refusal::Full(
                in_domain.iter().map(|child| child.member.clone()).collect(),
            ));
        }
        let needs_whole = hello.held != snapshots.stamp() && snapshots.find(hello.held).is_none();
        let syncing = self.children.values().filter(|child| child.is_syncing(now));
        let busy =
            syncing.count() >= usize::try_from(budget.whole_syncs.get()).unwrap_or(usize::MAX);
        (snapshots.held().is_some() && needs_whole && busy)
            .then_some(Refusal::Busy(BUSY_RETRY_WAIT))
    }

    /// Adds a child; returns the previous link of the same node, which must be closed.
    pub(crate) fn add(&mut self, now: Timestamp, session: LinkId, hello: &Hello) -> Option<LinkId> {
        let previous = self
            .children
            .iter()
            .find(|(_, child)| child.member.node == hello.member.node)
            .map(|(session, _)| *session);
        if let Some(previous) = previous {
            self.children.remove(&previous);
        }
        self.children.insert(session, Child::new(now, hello));
        previous
    }

    /// Removes a child; returns whether there was one.
    pub(crate) fn remove(&mut self, session: LinkId) -> bool {
        self.children.remove(&session).is_some()
    }

    /// Removes the children that were silent for longer than `peer_timeout`, and returns their
    /// links.
    pub(crate) fn remove_silent(&mut self, now: Timestamp, peer_timeout: Span) -> Vec<LinkId> {
        let silent: Vec<_> = self
            .children
            .iter()
            .filter(|(_, child)| now.since(child.last_heard) > peer_timeout)
            .map(|(session, _)| *session)
            .collect();
        for session in &silent {
            self.children.remove(session);
        }
        silent
    }

    /// Returns the messages that bring every child up to date with this node's current snapshot,
    /// and records them as sent. A child is sent a delta if its own snapshot is still known here,
    /// and the whole snapshot otherwise.
    pub(crate) fn sync(&mut self, now: Timestamp, snapshots: &Snapshots) -> Vec<Command> {
        let Some(current) = snapshots.held() else {
            return Vec::new();
        };
        let mut behind: BTreeMap<(u64, [u8; 16]), (Stamp, Vec<LinkId>)> = BTreeMap::new();
        for (session, child) in &mut self.children {
            if child.held.version >= current.stamp.version {
                continue;
            }
            // A stamp has no order, so its version and digest are the key.
            let key = (child.held.version.get(), *child.held.digest.as_bytes());
            behind
                .entry(key)
                .or_insert_with(|| (child.held, Vec::new()))
                .1
                .push(*session);
            if snapshots.find(child.held).is_none() {
                child.sync_started = Some(now);
            }
            child.held = current.stamp;
        }
        behind
            .into_values()
            .map(|(stamp, sessions)| {
                let message = match snapshots.find(stamp) {
                    Some(base) => Down::Delta(Box::new(Delta::between(base, current))),
                    None => Down::Snapshot(Box::new((**current).clone())),
                };
                Command::Down {
                    sessions,
                    message: Arc::new(message),
                }
            })
            .collect()
    }
}
