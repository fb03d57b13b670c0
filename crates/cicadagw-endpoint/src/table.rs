//! The endpoint table.

use std::collections::BTreeMap;

use cicadagw_unit::{Digest, id};

use crate::{Record, State};

/// The newest record of every endpoint that a node knows; endpoints in [`State::Gone`] are included
/// until they are removed.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Table {
    records: BTreeMap<id::Endpoint, Record>,
}

/// Returns the key by which the records of one endpoint are ordered, the newest last.
///
/// The owner and a root that marks the endpoint of an unreachable owner as gone may use the same
/// sequence number, so the state breaks the tie, followed by the fields that a restarted owner may have changed. The order is
/// total, so that all tables converge on the same record whatever the order of arrival.
fn precedence(record: &Record) -> impl Ord + '_ {
    (
        record.sequence,
        record.state,
        record.slots,
        record.address,
        (record.link, &record.node, &record.rack),
        (&record.domain, &record.region, &record.service),
    )
}

/// The result of merging a record into a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The record was new, or newer than the table's record of the same endpoint, and is stored.
    Updated,
    /// The table already holds the same or a newer record, and is unchanged.
    Stale,
}

impl Table {
    /// Stores `record` if it is newer than the table's record of the same endpoint.
    pub fn merge(&mut self, record: Record) -> Outcome {
        let held = self.records.get(&record.endpoint);
        if held.is_some_and(|held| precedence(held) >= precedence(&record)) {
            return Outcome::Stale;
        }
        self.records.insert(record.endpoint.clone(), record);
        Outcome::Updated
    }

    /// Returns the record of `endpoint`.
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<&Record> {
        self.records.get(endpoint)
    }

    /// Returns all records, ordered by endpoint id.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Removes the record of `endpoint`.
    ///
    /// Only safe for an endpoint that is gone and whose last update has reached every node: an
    /// older record that arrives later would add the endpoint again.
    pub fn remove(&mut self, endpoint: &id::Endpoint) {
        self.records.remove(endpoint);
    }

    /// Returns a digest of the records of each failure domain, by which two nodes compare their
    /// tables.
    pub fn digests(&self) -> BTreeMap<id::Domain, Digest> {
        let mut hashers: BTreeMap<&id::Domain, blake3::Hasher> = BTreeMap::new();
        for record in self.records.values() {
            let hasher = hashers.entry(&record.domain).or_default();
            serde_json::to_writer(hasher, record).expect("a record serializes to JSON");
        }
        hashers
            .into_iter()
            .map(|(domain, hasher)| {
                (
                    domain.clone(),
                    Digest::from_hash(hasher.finalize().as_bytes()),
                )
            })
            .collect()
    }

    /// Returns the records of the endpoints in [`State::Ready`], by service.
    pub fn ready(&self) -> BTreeMap<id::Service, Vec<Record>> {
        let mut ready: BTreeMap<id::Service, Vec<Record>> = BTreeMap::new();
        for record in self
            .records
            .values()
            .filter(|record| record.state == State::Ready)
        {
            ready
                .entry(record.service.clone())
                .or_default()
                .push(record.clone());
        }
        ready
    }
}
