//! News of endpoints: what is known, what is to be spread, and what this node says itself.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cicadagw_endpoint::{LocalUpdate, Outcome, Record, State, Table};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Digest, Sequence, id};
use cicadagw_view::Endpoints;
use cicadagw_wire::link::{Command, Session};
use cicadagw_wire::{Down, Up};

use crate::Identity;

/// How long a gone endpoint is remembered, so that old news does not revive it.
const GONE_MEMORY: Span = Span::seconds(600);

/// How long a node that refuted its end is not ended again.
const REFUTED_MEMORY: Span = Span::seconds(60);

/// Where news came from; it is not sent back there.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Source {
    Own,
    Link(Session),
}

/// The endpoints that a node knows, and the news that it has yet to spread.
#[derive(Clone, Debug)]
pub(crate) struct Registry {
    identity: Identity,
    table: Table,
    local: BTreeMap<id::Endpoint, LocalUpdate>,
    news: BTreeMap<Source, BTreeMap<id::Endpoint, Record>>,
    gone: BTreeMap<id::Endpoint, Timestamp>,
    /// Records of this node that it did not make in this life, and since when they are known.
    orphans: BTreeMap<id::Endpoint, Timestamp>,
    /// Endpoints that this node ended in this life; they never come back.
    ended: BTreeSet<id::Endpoint>,
    /// Nodes that refuted their end, and when.
    refuted: BTreeMap<id::Node, Timestamp>,
    changed: bool,
    /// The digests of the table, until it changes.
    digests: OnceCell<BTreeMap<id::Domain, Digest>>,
}

impl Registry {
    pub(crate) fn new(identity: Identity) -> Self {
        Self {
            identity,
            table: Table::default(),
            local: BTreeMap::new(),
            news: BTreeMap::new(),
            gone: BTreeMap::new(),
            orphans: BTreeMap::new(),
            ended: BTreeSet::new(),
            refuted: BTreeMap::new(),
            changed: false,
            digests: OnceCell::new(),
        }
    }

    pub(crate) fn table(&self) -> &Table {
        &self.table
    }

    pub(crate) fn digests(&self) -> &BTreeMap<id::Domain, Digest> {
        self.digests.get_or_init(|| self.table.digests())
    }

    /// Tells whether this node stands before a backend server.
    pub(crate) fn is_serving(&self) -> bool {
        self.local.values().any(|local| local.state != State::Gone)
    }

    /// Returns the nodes of the failure domain that stand before a backend server.
    pub(crate) fn serving_nodes(&self) -> BTreeMap<id::Node, &Record> {
        self.table
            .records()
            .filter(|record| record.domain == self.identity.domain && record.state != State::Gone)
            .map(|record| (record.node.clone(), record))
            .collect()
    }

    /// Returns where nodes of other failure domains take links.
    pub(crate) fn far_nodes(&self) -> Vec<SocketAddr> {
        let far = self
            .table
            .records()
            .filter(|record| record.domain != self.identity.domain && record.state != State::Gone);
        let links: BTreeSet<_> = far.map(|record| record.link).collect();
        links.into_iter().collect()
    }

    /// Takes news of the backend server of this host.
    pub(crate) fn tell(&mut self, now: Timestamp, local: LocalUpdate) {
        if self.local.get(&local.endpoint) == Some(&local) {
            return;
        }
        let known = self.table.get(&local.endpoint);
        let sequence = known.map_or(Sequence::new(1), |record| record.sequence.next());
        let record = self.record(&local, sequence);
        self.orphans.remove(&local.endpoint);
        if local.state == State::Gone {
            self.local.remove(&local.endpoint);
            self.ended.insert(local.endpoint.clone());
        } else {
            self.local.insert(local.endpoint.clone(), local);
        }
        self.merge(now, Source::Own, record);
    }

    /// Takes news from a peer.
    pub(crate) fn learn(&mut self, now: Timestamp, source: Source, records: Vec<Record>) {
        for record in records {
            if record.node == self.identity.member.node {
                self.answer(now, source, record);
            } else {
                self.merge(now, source, record);
            }
        }
    }

    /// Marks the endpoints of a node of the failure domain as gone, unless it lately refuted that.
    pub(crate) fn end_node(&mut self, now: Timestamp, node: &id::Node) {
        if self.refuted.contains_key(node) {
            return;
        }
        let dead: Vec<Record> = self
            .table
            .records()
            .filter(|record| record.node == *node && record.state != State::Gone)
            .cloned()
            .collect();
        for mut record in dead {
            record.state = State::Gone;
            record.sequence = record.sequence.next();
            self.merge(now, Source::Own, record);
        }
    }

    /// Looks at what time alone changes.
    pub(crate) fn tick(&mut self, now: Timestamp, patience: Span) {
        self.refuted
            .retain(|_, since| now.since(*since) <= REFUTED_MEMORY);
        let forgotten: Vec<_> = self
            .gone
            .iter()
            .filter(|(_, since)| now.since(**since) > GONE_MEMORY)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in forgotten {
            self.gone.remove(&endpoint);
            self.ended.remove(&endpoint);
            self.table.remove(&endpoint);
            self.digests.take();
        }
        let unclaimed: Vec<_> = self
            .orphans
            .iter()
            .filter(|(_, since)| now.since(**since) > patience)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in unclaimed {
            self.orphans.remove(&endpoint);
            self.end(now, &endpoint);
        }
    }

    /// Returns the messages that spread the news; every peer gets what did not come from it.
    pub(crate) fn spread(&mut self, children: &[Session], parent: Option<Session>) -> Vec<Command> {
        let mut commands = Vec::new();
        for (source, records) in std::mem::take(&mut self.news) {
            let records: Vec<Record> = records.into_values().collect();
            let sessions: Vec<_> = children
                .iter()
                .copied()
                .filter(|session| source != Source::Link(*session))
                .collect();
            if let Some(session) = parent.filter(|session| source != Source::Link(*session)) {
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

    /// Returns every record of the failure domains in which `theirs` differs from what is known.
    pub(crate) fn difference(&self, theirs: &BTreeMap<id::Domain, Digest>) -> Vec<Record> {
        let ours = self.digests();
        self.table
            .records()
            .filter(|record| ours.get(&record.domain) != theirs.get(&record.domain))
            .cloned()
            .collect()
    }

    /// Returns the endpoints that take work, when they changed since the last time.
    pub(crate) fn take_changed(&mut self) -> Option<Arc<Endpoints>> {
        std::mem::take(&mut self.changed).then(|| Arc::new(self.table.ready()))
    }

    /// Sets right what a peer says of an endpoint of this node.
    fn answer(&mut self, now: Timestamp, source: Source, record: Record) {
        let sequence = record.sequence;
        let endpoint = record.endpoint.clone();
        if let Some(local) = self.local.get(&endpoint) {
            let own = self.record(local, sequence);
            if own == record {
                self.merge(now, source, record);
            } else if self
                .table
                .get(&endpoint)
                .is_none_or(|known| known.sequence <= sequence)
            {
                let own = Record {
                    sequence: sequence.next(),
                    ..own
                };
                self.merge(now, Source::Own, own);
            }
            return;
        }
        let ended = self.ended.contains(&endpoint);
        if record.state != State::Gone && !ended {
            self.orphans.entry(endpoint.clone()).or_insert(now);
        }
        self.merge(now, source, record);
        if ended {
            self.end(now, &endpoint);
        }
    }

    /// Marks an endpoint of this node as gone.
    fn end(&mut self, now: Timestamp, endpoint: &id::Endpoint) {
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
            self.merge(now, Source::Own, record);
        }
    }

    fn merge(&mut self, now: Timestamp, source: Source, record: Record) {
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
        for news in self.news.values_mut() {
            news.remove(&record.endpoint);
        }
        self.news
            .entry(source)
            .or_default()
            .insert(record.endpoint.clone(), record);
    }

    fn record(&self, local: &LocalUpdate, sequence: Sequence) -> Record {
        Record {
            address: self.identity.calls,
            domain: self.identity.domain.clone(),
            endpoint: local.endpoint.clone(),
            link: self.identity.member.link,
            node: self.identity.member.node.clone(),
            rack: self.identity.member.rack.clone(),
            region: self.identity.region.clone(),
            sequence,
            service: local.service.clone(),
            slots: local.slots,
            state: local.state,
        }
    }
}
