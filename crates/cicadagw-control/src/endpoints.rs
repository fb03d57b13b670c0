//! Endpoint registry: the endpoints known, the updates still to be sent, and the endpoints of this
//! node's own backend server.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_endpoint::{LocalUpdate, Outcome, Record, State, Table};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Digest, Sequence, id};
use cicadagw_view::Endpoints;
use cicadagw_wire::link::{Command, LinkId};
use cicadagw_wire::{Down, Up};

use crate::Identity;

/// How long the tombstone of a gone endpoint is kept, so that a stale record does not bring it
/// back.
const TOMBSTONE_TTL: Span = Span::seconds(600);

/// How long a node that refuted its removal is not removed again.
const REFUTATION_TTL: Span = Span::seconds(60);

/// Where an update came from; it is not sent back there.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Origin {
    /// This node.
    Own,
    /// The peer at the other end of this link.
    Link(LinkId),
}

/// The endpoints known to a node, and the updates that it has yet to send to its peers.
#[derive(Clone, Debug)]
pub(crate) struct Registry {
    identity: Identity,
    table: Table,
    /// Endpoints of the backend servers on this host, as last announced.
    local: BTreeMap<id::Endpoint, LocalUpdate>,
    /// Updates to be sent, by origin.
    pending: BTreeMap<Origin, BTreeMap<id::Endpoint, Record>>,
    /// Tombstones: gone endpoints, and when each became known as gone.
    gone: BTreeMap<id::Endpoint, Timestamp>,
    /// Records of this node that the current process did not create, and since when they are known.
    /// They are removed unless the backend server announces itself again.
    unclaimed: BTreeMap<id::Endpoint, Timestamp>,
    /// Endpoints of this node that ended during this process; they never come back.
    retired: BTreeSet<id::Endpoint>,
    /// Nodes that refuted their removal, and when.
    refuted: BTreeMap<id::Node, Timestamp>,
    /// Whether the table has changed since [`Self::take_changed`] was last called.
    changed: bool,
    /// Cached digests of the table; cleared whenever it changes.
    digests: OnceCell<BTreeMap<id::Domain, Digest>>,
}

impl Registry {
    pub(crate) fn new(identity: Identity) -> Self {
        Self {
            identity,
            table: Table::default(),
            local: BTreeMap::new(),
            pending: BTreeMap::new(),
            gone: BTreeMap::new(),
            unclaimed: BTreeMap::new(),
            retired: BTreeSet::new(),
            refuted: BTreeMap::new(),
            changed: false,
            digests: OnceCell::new(),
        }
    }

    /// Returns all endpoint records known.
    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the digest of the records of each failure domain.
    pub(crate) fn digests(&self) -> &BTreeMap<id::Domain, Digest> {
        self.digests.get_or_init(|| self.table.digests())
    }

    /// Returns whether this node has a backend server that is not gone; it may be draining.
    pub(crate) fn is_serving(&self) -> bool {
        self.local.values().any(|local| local.state != State::Gone)
    }

    /// Returns the nodes of the failure domain that have a backend server that is not gone, with
    /// one of their records each.
    pub(crate) fn serving_nodes(&self) -> BTreeMap<id::Node, &Record> {
        self.table
            .records()
            .filter(|record| record.domain == self.identity.domain && record.state != State::Gone)
            .map(|record| (record.node.clone(), record))
            .collect()
    }

    /// Returns the link addresses of the nodes of other failure domains.
    pub(crate) fn remote_nodes(&self) -> Vec<SocketAddr> {
        let remote = self
            .table
            .records()
            .filter(|record| record.domain != self.identity.domain && record.state != State::Gone);
        let links: BTreeSet<_> = remote.map(|record| record.link).collect();
        links.into_iter().collect()
    }

    /// Applies a state change of a backend server on this host.
    pub(crate) fn update_local(&mut self, now: Timestamp, local: LocalUpdate) {
        if self.local.get(&local.endpoint) == Some(&local) {
            return;
        }
        let known = self.table.get(&local.endpoint);
        let sequence = known.map_or(Sequence::new(1), |record| record.sequence.next());
        let record = self.record(&local, sequence);
        self.unclaimed.remove(&local.endpoint);
        if local.state == State::Gone {
            self.local.remove(&local.endpoint);
            self.retired.insert(local.endpoint.clone());
        } else {
            self.local.insert(local.endpoint.clone(), local);
        }
        self.merge(now, Origin::Own, record);
    }

    /// Merges records received from a peer.
    pub(crate) fn receive(&mut self, now: Timestamp, origin: Origin, records: Vec<Record>) {
        for record in records {
            if record.node == self.identity.member.node {
                self.reconcile_own(now, origin, record);
            } else {
                self.merge(now, origin, record);
            }
        }
    }

    /// Marks all endpoints of a node as gone, unless it has recently refuted its removal.
    pub(crate) fn mark_node_gone(&mut self, now: Timestamp, node: &id::Node) {
        if self.refuted.contains_key(node) {
            return;
        }
        let live: Vec<Record> = self
            .table
            .records()
            .filter(|record| record.node == *node && record.state != State::Gone)
            .cloned()
            .collect();
        for mut record in live {
            record.state = State::Gone;
            record.sequence = record.sequence.next();
            self.merge(now, Origin::Own, record);
        }
    }

    /// Removes expired tombstones and expired refutations, and marks endpoints as gone that the
    /// backend server has not announced again within `grace`.
    pub(crate) fn tick(&mut self, now: Timestamp, grace: Span) {
        self.refuted
            .retain(|_, since| now.since(*since) <= REFUTATION_TTL);
        let expired: Vec<_> = self
            .gone
            .iter()
            .filter(|(_, since)| now.since(**since) > TOMBSTONE_TTL)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in expired {
            self.gone.remove(&endpoint);
            self.retired.remove(&endpoint);
            self.table.remove(&endpoint);
            self.digests.take();
        }
        let overdue: Vec<_> = self
            .unclaimed
            .iter()
            .filter(|(_, since)| now.since(**since) > grace)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in overdue {
            self.unclaimed.remove(&endpoint);
            self.mark_gone(now, &endpoint);
        }
    }

    /// Removes the pending updates, and returns the messages that send each of them to all peers
    /// except the one that it came from.
    pub(crate) fn take_updates(
        &mut self,
        children: &[LinkId],
        parent: Option<LinkId>,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        for (origin, records) in std::mem::take(&mut self.pending) {
            let records: Vec<Record> = records.into_values().collect();
            let sessions: Vec<_> = children
                .iter()
                .copied()
                .filter(|session| origin != Origin::Link(*session))
                .collect();
            if let Some(session) = parent.filter(|session| origin != Origin::Link(*session)) {
                commands.push(Command::Up {
                    session,
                    message: Box::new(Up::Endpoints(records.clone())),
                });
            }
            if !sessions.is_empty() {
                commands.push(Command::Down {
                    sessions,
                    message: Arc::new(Down::Endpoints(records)),
                });
            }
        }
        commands
    }

    /// Returns all records of the failure domains whose digest in `theirs`, the digests of a peer,
    /// differs from the digest of this node's records.
    pub(crate) fn difference(&self, theirs: &BTreeMap<id::Domain, Digest>) -> Vec<Record> {
        let ours = self.digests();
        self.table
            .records()
            .filter(|record| ours.get(&record.domain) != theirs.get(&record.domain))
            .cloned()
            .collect()
    }

    /// Returns the endpoints that accept requests, if they have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Option<Arc<Endpoints>> {
        std::mem::take(&mut self.changed).then(|| Arc::new(self.table.ready()))
    }

    /// Merges a peer's record of an endpoint of this node; a wrong one is overridden by a newer
    /// record.
    fn reconcile_own(&mut self, now: Timestamp, origin: Origin, record: Record) {
        let sequence = record.sequence;
        let endpoint = record.endpoint.clone();
        if let Some(local) = self.local.get(&endpoint) {
            let own = self.record(local, sequence);
            if own == record {
                self.merge(now, origin, record);
            } else if self
                .table
                .get(&endpoint)
                .is_none_or(|known| known.sequence <= sequence)
            {
                let own = Record {
                    sequence: sequence.next(),
                    ..own
                };
                self.merge(now, Origin::Own, own);
            }
            return;
        }
        let is_retired = self.retired.contains(&endpoint);
        if record.state != State::Gone && !is_retired {
            self.unclaimed.entry(endpoint.clone()).or_insert(now);
        }
        self.merge(now, origin, record);
        if is_retired {
            self.mark_gone(now, &endpoint);
        }
    }

    /// Marks an endpoint of this node as gone.
    fn mark_gone(&mut self, now: Timestamp, endpoint: &id::Endpoint) {
        if let Some(record) = self
            .table
            .get(endpoint)
            .filter(|record| record.state != State::Gone)
        {
            let record = Record {
                sequence: record.sequence.next(),
                state: State::Gone,
                ..record.clone()
            };
            self.merge(now, Origin::Own, record);
        }
    }

    /// Merges a record into the table, and queues it for the peers if it is new.
    fn merge(&mut self, now: Timestamp, origin: Origin, record: Record) {
        let known = self.table.get(&record.endpoint);
        let was_gone = known.is_some_and(|known| known.state == State::Gone);
        if self.table.merge(record.clone()) == Outcome::Stale {
            return;
        }
        match record.state {
            State::Gone => self.gone.insert(record.endpoint.clone(), now),
            State::Ready | State::Draining => self.gone.remove(&record.endpoint),
        };
        if was_gone && record.state != State::Gone {
            self.refuted.insert(record.node.clone(), now);
        }
        self.changed = true;
        self.digests.take();
        for pending in self.pending.values_mut() {
            pending.remove(&record.endpoint);
        }
        self.pending
            .entry(origin)
            .or_default()
            .insert(record.endpoint.clone(), record);
    }

    /// Returns the record of an endpoint of this node.
    fn record(&self, local: &LocalUpdate, sequence: Sequence) -> Record {
        Record {
            release: local.release.clone(),
            address: self.identity.calls,
            domain: self.identity.domain.clone(),
            endpoint: local.endpoint.clone(),
            limit: local.limit,
            link: self.identity.member.link,
            node: self.identity.member.node.clone(),
            rack: self.identity.member.rack.clone(),
            region: self.identity.region.clone(),
            sequence,
            service: local.service.clone(),
            slots: local.slots,
            started_ms: local.started_ms,
            state: local.state,
        }
    }
}
