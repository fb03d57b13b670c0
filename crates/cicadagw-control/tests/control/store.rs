//! A fake object store of the platform, which can be made to fail.

use std::collections::{BTreeMap, VecDeque};

use cicadagw_config::head::Entry;
use cicadagw_config::{Delta, Head, part};
use cicadagw_control::platform::{Request, Response};
use cicadagw_control::{Claim, Scope};
use cicadagw_platform::{Condition, Error, Key, Object, Revision};
use cicadagw_unit::Digest;

use crate::fixture::{member, snapshot};

/// How the next write fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The write takes effect, and its response is lost.
    ResponseLostAfterWrite,
    /// The write does not take effect, and its response is lost.
    ResponseLostBeforeWrite,
}

/// The object store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) unavailable: bool,
    pub(crate) faults: VecDeque<Fault>,
    objects: BTreeMap<Key, Object>,
    revision: u64,
}

impl Store {
    /// Creates a store with the versions from 1 to `version`, whose head names the last one.
    pub(crate) fn holding(version: u64) -> Self {
        let mut store = Self::default();
        for version in 1..=version {
            store.accept(version);
        }
        store
    }

    /// Stores the snapshot of `version` as the successor of the previous one.
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

    /// Returns the head.
    pub(crate) fn head(&self) -> Head {
        serde_json::from_slice(&self.objects[&Key::head()].value).unwrap()
    }

    /// Replaces an unusable head by one with only the snapshot of `version`.
    pub(crate) fn replace_head(&mut self, version: u64) {
        self.objects.remove(&Key::head());
        self.accept(version);
    }

    /// Returns the value of an object.
    pub(crate) fn read(&self, key: &Key) -> Option<Vec<u8>> {
        self.objects.get(key).map(|object| object.value.to_vec())
    }

    /// Makes the node with this number the holder of the lease of `scope`.
    pub(crate) fn assign_lease(&mut self, scope: Scope, number: u16) {
        let claim = Claim {
            domain: "kochi-a".parse().unwrap(),
            holder: member(number),
            term: 99,
        };
        self.write(lease(scope), serde_json::to_vec(&claim).unwrap());
    }

    /// Releases the lease of `scope` on behalf of its holder.
    pub(crate) fn release_lease(&mut self, scope: Scope) {
        self.write(lease(scope), b"{}".to_vec());
    }

    /// Restores the store from `backup`, including its revisions.
    pub(crate) fn restore(&mut self, backup: Self) {
        *self = backup;
    }

    /// Returns the response to a request; `None` for a watch without a change.
    pub(crate) fn answer(&mut self, request: &Request) -> Option<Result<Response, Error>> {
        if self.unavailable {
            return Some(Err(Error::Unavailable("unavailable".to_owned())));
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
        if fault == Some(Fault::ResponseLostBeforeWrite) {
            return Err(Error::Unknown("connection reset".to_owned()));
        }
        let held = self.objects.get(key).map(|object| object.revision);
        let is_met = match condition {
            Condition::Always => true,
            Condition::Absent => held.is_none(),
            Condition::Revision(revision) => held == Some(revision),
        };
        if !is_met {
            return Err(Error::Conflict);
        }
        let revision = self.write(key.clone(), value.to_vec());
        match fault {
            Some(_) => Err(Error::Unknown("connection reset".to_owned())),
            None => Ok(Response::Written(revision)),
        }
    }

    pub(crate) fn write(&mut self, key: Key, value: Vec<u8>) -> Revision {
        self.revision += 1;
        let revision = Revision::new(self.revision);
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

fn lease(scope: Scope) -> Key {
    match scope {
        Scope::Domain => Key::domain_lease(&"kochi-a".parse().unwrap()),
        Scope::Region => Key::region_lease(&"kochi".parse().unwrap()),
        Scope::Fleet => Key::fleet_lease(),
    }
}
