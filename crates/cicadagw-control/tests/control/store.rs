//! A fake of the platform's store, which answers calls and can be made to fail.

use std::collections::{BTreeMap, VecDeque};

use cicadagw_config::head::Entry;
use cicadagw_config::{Delta, Head, part};
use cicadagw_control::platform::{Request, Response};
use cicadagw_control::{Claim, Rank};
use cicadagw_platform::{Condition, Error, Key, Object, Revision};
use cicadagw_unit::Digest;

use crate::fixture::{member, snapshot};

/// How the next write fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// It takes effect, and its answer is lost.
    LostAfter,
    /// It takes no effect, and its answer is lost.
    LostBefore,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) away: bool,
    pub(crate) faults: VecDeque<Fault>,
    objects: BTreeMap<Key, Object>,
    revision: u64,
}

impl Store {
    /// A store whose head names `version`.
    pub(crate) fn holding(version: u64) -> Self {
        let mut store = Self::default();
        for version in 1..=version {
            store.accept(version);
        }
        store
    }

    /// Accepts the snapshot of `version` on top of the one before.
    pub(crate) fn accept(&mut self, version: u64) {
        let newest = snapshot(version);
        let parts = self.write_parts(&newest.config);
        let delta = (version > 1).then(|| Delta::between(&snapshot(version - 1), &newest));
        let delta = delta.and_then(|delta| self.write_parts(&delta).pop());
        let entry = Entry {
            change: format!("change-{version}").parse().unwrap(),
            delta,
            operator: "asha".parse().unwrap(),
            parts: parts.into_iter().collect(),
            preset: newest.preset.clone(),
            stamp: newest.stamp,
        };
        let head = match self.objects.get(&Key::head()) {
            Some(object) => serde_json::from_slice::<Head>(&object.value)
                .unwrap()
                .accept(entry),
            None => Head {
                history: vec![entry],
            },
        };
        self.write(Key::head(), serde_json::to_vec(&head).unwrap());
    }

    /// The head.
    pub(crate) fn head(&self) -> Head {
        serde_json::from_slice(&self.objects[&Key::head()].value).unwrap()
    }

    /// Puts the snapshot of `version` in the place of a head that leads nowhere.
    pub(crate) fn accept_over(&mut self, version: u64) {
        self.objects.remove(&Key::head());
        self.accept(version);
    }

    /// The value of an object.
    pub(crate) fn read(&self, key: &Key) -> Option<Vec<u8>> {
        self.objects.get(key).map(|object| object.value.to_vec())
    }

    /// Has the node with this number hold the lease of `rank`.
    pub(crate) fn give(&mut self, rank: Rank, number: u16) {
        let claim = Claim {
            domain: "kochi-a".parse().unwrap(),
            holder: member(number),
            term: 99,
        };
        self.write(lease(rank), serde_json::to_vec(&claim).unwrap());
    }

    /// Has the holder of a lease give it back.
    pub(crate) fn release(&mut self, rank: Rank) {
        self.write(lease(rank), b"{}".to_vec());
    }

    /// Sets the store back to `backup`, with its revisions.
    pub(crate) fn restore(&mut self, backup: Self) {
        *self = backup;
    }

    /// Answers a call; `None` while a watch has nothing to tell.
    pub(crate) fn answer(&mut self, request: &Request) -> Option<Result<Response, Error>> {
        if self.away {
            return Some(Err(Error::Unavailable("away".to_owned())));
        }
        match request {
            Request::Get(key) => Some(Ok(Response::Object(self.objects.get(key).cloned()))),
            Request::Put {
                key,
                value,
                condition,
            } => Some(self.put(key, value, *condition)),
            Request::Watch { key, after, .. } => {
                let object = self.objects.get(key)?;
                (object.revision > *after).then(|| Ok(Response::Object(Some(object.clone()))))
            }
        }
    }

    fn put(&mut self, key: &Key, value: &[u8], condition: Condition) -> Result<Response, Error> {
        let fault = self.faults.pop_front();
        if fault == Some(Fault::LostBefore) {
            return Err(Error::Unknown("cut".to_owned()));
        }
        let held = self.objects.get(key).map(|object| object.revision);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => held.is_none(),
            Condition::Revision(revision) => held == Some(revision),
        };
        if !holds {
            return Err(Error::Conflict);
        }
        let revision = self.write(key.clone(), value.to_vec());
        match fault {
            Some(_) => Err(Error::Unknown("cut".to_owned())),
            None => Ok(Response::Written(revision)),
        }
    }

    pub(crate) fn write(&mut self, key: Key, value: Vec<u8>) -> Revision {
        self.revision += 1;
        let revision = Revision(self.revision);
        let object = Object {
            key: key.clone(),
            revision,
            value: value.into(),
        };
        self.objects.insert(key, object);
        revision
    }

    fn write_parts<T: serde::Serialize>(&mut self, content: &T) -> Vec<Digest> {
        let parts = part::pack(content);
        for part in &parts {
            self.write(Key::part(part.digest), part.bytes.clone());
        }
        parts.into_iter().map(|part| part.digest).collect()
    }
}

fn lease(rank: Rank) -> Key {
    match rank {
        Rank::Domain => Key::domain_lease(&"kochi-a".parse().unwrap()),
        Rank::Region => Key::region_lease(&"kochi".parse().unwrap()),
        Rank::Fleet => Key::fleet_lease(),
    }
}
