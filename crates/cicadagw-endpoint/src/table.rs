//! The table of all endpoints.

use std::collections::BTreeMap;

use cicadagw_unit::{Digest, id};

use crate::{Record, State};

/// Every endpoint that a node knows of, the gone ones included until they are forgotten.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(transparent)]
pub struct Table {
    records: BTreeMap<id::Endpoint, Record>,
}

/// Orders the records of one endpoint.
///
/// An owner and a root that declares the owner dead may use the same sequence number, so the state
/// decides next, and then what a restarted owner may have changed. Every table must end with the
/// same record, whatever the order in which it learns of them.
fn order(record: &Record) -> impl Ord + '_ {
    (
        record.sequence,
        record.state,
        record.slots,
        record.address,
        (record.link, &record.node, &record.rack),
        (&record.domain, &record.region, &record.service),
    )
}

/// What a table did with a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It is newer than what the table held, and is held now.
    Updated,
    /// The table holds the same or something newer.
    Stale,
}

impl Table {
    /// Takes `record` in when it is newer than what the table holds of the same endpoint.
    pub fn merge(&mut self, record: Record) -> Outcome {
        let held = self.records.get(&record.endpoint);
        if held.is_some_and(|held| order(held) >= order(&record)) {
            return Outcome::Stale;
        }
        self.records.insert(record.endpoint.clone(), record);
        Outcome::Updated
    }

    /// Returns the record of `endpoint`.
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<&Record> {
        self.records.get(endpoint)
    }

    /// Returns every record, in the order of the endpoint ids.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Forgets an endpoint; for gone ones whose last news has reached everybody.
    pub fn remove(&mut self, endpoint: &id::Endpoint) {
        self.records.remove(endpoint);
    }

    /// Returns a digest of the records of each failure domain, by which two tables are compared.
    pub fn digests(&self) -> BTreeMap<id::Domain, Digest> {
        let mut hashers: BTreeMap<&id::Domain, blake3::Hasher> = BTreeMap::new();
        for record in self.records.values() {
            let hasher = hashers.entry(&record.domain).or_default();
            serde_json::to_writer(hasher, record).expect("a record can be written as JSON");
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

    /// Returns the records of those that take work, by service.
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
