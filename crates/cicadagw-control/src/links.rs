//! The links to the children, and what is sent over them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cicadagw_config::{Delta, Stamp};
use cicadagw_settings::Budget;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::link::{Command, Session};
use cicadagw_wire::{Down, Hello, Member, Refusal, Report};

use crate::adopt::Holder;
use crate::child::Child;

/// What a child is told to wait when too many whole snapshots are under way.
pub(crate) const BUSY_WAIT: Span = Span::new(200);

/// The children of this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Children {
    children: BTreeMap<Session, Child>,
}

impl Children {
    pub(crate) fn sessions(&self) -> Vec<Session> {
        self.children.keys().copied().collect()
    }

    pub(crate) fn get_mut(&mut self, session: Session) -> Option<&mut Child> {
        self.children.get_mut(&session)
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        self.children
            .values()
            .map(|child| child.member.clone())
            .collect()
    }

    /// Returns the children that belong to `domain`.
    pub(crate) fn in_domain(&self, domain: &id::Domain) -> impl Iterator<Item = &Child> {
        self.children
            .values()
            .filter(move |child| child.domain == *domain)
    }

    /// Returns the reports of the children that belong to `domain`.
    pub(crate) fn reports(&self, domain: &id::Domain) -> impl Iterator<Item = (&Member, &Report)> {
        self.in_domain(domain)
            .filter_map(|child| Some((&child.member, child.report.as_ref()?)))
    }

    /// Returns the links to the children that belong to `domain`.
    pub(crate) fn sessions_in(&self, domain: &id::Domain) -> Vec<Session> {
        let within = self
            .children
            .iter()
            .filter(|(_, child)| child.domain == *domain);
        within.map(|(session, _)| *session).collect()
    }

    /// Says why the node cannot take the child, if it cannot.
    pub(crate) fn refusal(
        &self,
        hello: &Hello,
        domain: &id::Domain,
        holder: &Holder,
        budget: &Budget,
        now: Timestamp,
    ) -> Option<Refusal> {
        // Roots of other failure domains are few, and have nowhere else to go.
        let within: Vec<_> = self.in_domain(domain).collect();
        let limit = usize::try_from(budget.fanout.get()).unwrap_or(usize::MAX);
        if hello.domain == *domain && within.len() >= limit {
            return Some(Refusal::Full(
                within.iter().map(|child| child.member.clone()).collect(),
            ));
        }
        let wants_whole = hello.held != holder.stamp() && holder.find(hello.held).is_none();
        let syncing = self.children.values().filter(|child| child.is_syncing(now));
        let busy =
            syncing.count() >= usize::try_from(budget.whole_syncs.get()).unwrap_or(usize::MAX);
        (holder.held().is_some() && wants_whole && busy).then_some(Refusal::Busy(BUSY_WAIT))
    }

    /// Takes a child; an earlier link of the same node is returned, to be closed.
    pub(crate) fn add(
        &mut self,
        now: Timestamp,
        session: Session,
        hello: &Hello,
    ) -> Option<Session> {
        let earlier = self
            .children
            .iter()
            .find(|(_, child)| child.member.node == hello.member.node)
            .map(|(session, _)| *session);
        if let Some(earlier) = earlier {
            self.children.remove(&earlier);
        }
        self.children.insert(session, Child::new(now, hello));
        earlier
    }

    /// Forgets a child; tells whether there was one.
    pub(crate) fn remove(&mut self, session: Session) -> bool {
        self.children.remove(&session).is_some()
    }

    /// Forgets the children that were silent too long, and returns their links.
    pub(crate) fn remove_silent(&mut self, now: Timestamp, silence: Span) -> Vec<Session> {
        let silent: Vec<_> = self
            .children
            .iter()
            .filter(|(_, child)| now.since(child.heard) > silence)
            .map(|(session, _)| *session)
            .collect();
        for session in &silent {
            self.children.remove(session);
        }
        silent
    }

    /// Brings every child up to what the node holds, by a delta where the child is a little behind.
    pub(crate) fn bring_up(&mut self, now: Timestamp, holder: &Holder) -> Vec<Command> {
        let Some(newest) = holder.held() else {
            return Vec::new();
        };
        let mut behind: BTreeMap<(u64, [u8; 16]), (Stamp, Vec<Session>)> = BTreeMap::new();
        for (session, child) in &mut self.children {
            if child.held.version >= newest.stamp.version {
                continue;
            }
            let key = (child.held.version.get(), *child.held.digest.as_bytes());
            behind
                .entry(key)
                .or_insert_with(|| (child.held, Vec::new()))
                .1
                .push(*session);
            if holder.find(child.held).is_none() {
                child.syncing = Some(now);
            }
            child.held = newest.stamp;
        }
        behind
            .into_values()
            .map(|(stamp, sessions)| {
                let message = match holder.find(stamp) {
                    Some(base) => Down::Delta(Box::new(Delta::between(base, newest))),
                    None => Down::Snapshot(Box::new((**newest).clone())),
                };
                Command::Down {
                    sessions,
                    message: Arc::new(message),
                }
            })
            .collect()
    }
}
