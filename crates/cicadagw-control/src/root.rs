//! Tasks of the root of a failure domain: census, status and directory.

use std::collections::{BTreeMap, BTreeSet};

use cicadagw_unit::id;
use cicadagw_unit::time::Timestamp;
use cicadagw_wire::{Directory, Down, Member, Up};

use crate::{Core, Effect, census};

impl Core {
    /// Adds the census responses received to the census if this node is a root, and forwards them
    /// to the parent otherwise.
    pub(crate) fn forward_census_responses(&mut self) {
        let present = std::mem::take(&mut self.present);
        if present.is_empty() {
            return;
        }
        if self.election.scope().is_some() {
            self.census.add_present(present);
        } else {
            self.send_up(Up::Present(present));
        }
    }

    /// Requests a census response from all descendants in the failure domain.
    pub(crate) fn take_census(&mut self) {
        let sessions = self.children.sessions_in_domain(&self.identity.domain);
        self.send_down(sessions, Down::Census);
    }

    /// Advances the census and writes status and directory, if this node is a root.
    pub(crate) fn tick_root(&mut self, now: Timestamp) {
        if self.election.scope().is_none() {
            self.census.reset();
            self.status.reset();
            self.directory.reset();
            return;
        }
        let report = self.report();
        let recorded = self.registry.serving_nodes().len();
        let reported = usize::try_from(report.serving).unwrap_or(usize::MAX);
        match self.census.tick(now, recorded, reported) {
            census::Outcome::Nothing => {}
            census::Outcome::Start => self.take_census(),
            census::Outcome::Present(present) => self.mark_absent_gone(now, &present),
        }
        let min_interval = self.settings.timing.status;
        let write = self
            .status
            .tick(now, &self.identity, &self.snapshots, &report, min_interval);
        self.effects.extend(write.map(Effect::Platform));
        self.write_directory(now);
    }

    /// Marks the endpoints of the nodes that did not respond to the census as gone.
    pub(crate) fn mark_absent_gone(&mut self, now: Timestamp, present: &BTreeSet<id::Node>) {
        let own = &self.identity.member.node;
        let absent: Vec<_> = self
            .registry
            .serving_nodes()
            .into_keys()
            .filter(|node| node != own && !present.contains(node))
            .collect();
        for node in absent {
            self.registry.mark_node_gone(now, &node);
        }
    }

    /// Writes the directory when it is due.
    pub(crate) fn write_directory(&mut self, now: Timestamp) {
        let mut members: BTreeMap<id::Node, Member> = self
            .registry
            .serving_nodes()
            .into_values()
            .map(|record| {
                let member = Member {
                    link: record.link,
                    node: record.node.clone(),
                    rack: record.rack.clone(),
                };
                (record.node.clone(), member)
            })
            .collect();
        let own = &self.identity.member;
        members.insert(own.node.clone(), own.clone());
        let directory = Directory {
            domain: self.identity.domain.clone(),
            members: members.into_values().collect(),
            region: self.identity.region.clone(),
        };
        let call = self.directory.tick(now, directory);
        self.effects.extend(call.map(Effect::Platform));
    }
}
