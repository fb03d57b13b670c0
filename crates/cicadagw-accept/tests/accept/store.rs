//! An in-memory store with injected faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use cicadagw_accept::{Outcome, Request, apply_change};
use cicadagw_platform::{Condition, Error, Key, Object, Revision, Store};
use cicadagw_unit::time::Span;

/// A fault in one request to the store.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The request takes effect and its response is lost.
    LostAfterEffect,
    /// The request takes no effect and its response is lost.
    LostBeforeEffect,
    /// The request takes effect, its response is lost, and the platform remains unavailable.
    OutageAfterEffect,
    /// The platform is unavailable and does not execute the request.
    Unavailable,
    /// These changes of other operators are accepted before the request takes effect.
    Superseded(Vec<Request>),
    /// These changes of other operators are accepted after the request took effect, and its
    /// response is lost.
    LostThenSuperseded(Vec<Request>),
}

/// An in-memory store that records every request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fake {
    objects: Rc<RefCell<BTreeMap<Key, Object>>>,
    faults: Rc<RefCell<Vec<(&'static str, Fault)>>>,
    calls: Rc<RefCell<Vec<String>>>,
    is_down: Rc<Cell<bool>>,
    revisions: Rc<Cell<u64>>,
}

impl Fake {
    /// Injects a fault into the next request whose text, such as `put head`, begins with `call`.
    pub(crate) fn fail(&self, call: &'static str, fault: Fault) {
        self.faults.borrow_mut().push((call, fault));
    }

    /// Removes the faults that did not occur, and returns their number.
    pub(crate) fn clear_faults(&self) -> usize {
        self.faults.borrow_mut().drain(..).count()
    }

    /// Returns and clears the recorded requests, one per line.
    pub(crate) fn calls(&self) -> String {
        let calls: Vec<String> = self.calls.borrow_mut().drain(..).collect();
        calls.join("\n")
    }

    pub(crate) fn keys(&self) -> Vec<Key> {
        self.objects.borrow().keys().cloned().collect()
    }

    pub(crate) fn remove(&self, key: &Key) {
        self.objects.borrow_mut().remove(key);
    }

    fn store(&self, key: &Key, value: Bytes) -> Revision {
        self.revisions.set(self.revisions.get() + 1);
        let object = Object {
            key: key.clone(),
            revision: Revision::new(self.revisions.get()),
            value,
        };
        let revision = object.revision;
        self.objects.borrow_mut().insert(key.clone(), object);
        revision
    }

    fn fault(&self, call: &str) -> Option<Fault> {
        let mut faults = self.faults.borrow_mut();
        let index = faults
            .iter()
            .position(|(prefix, _)| call.starts_with(prefix))?;
        Some(faults.remove(index).1)
    }

    fn record(&self, call: &str, outcome: &str) {
        self.calls.borrow_mut().push(format!("{call}: {outcome}"));
    }

    fn put_now(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let found = self.objects.borrow().get(key).map(|found| found.revision);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => found.is_none(),
            Condition::Revision(revision) => found == Some(revision),
        };
        if holds {
            Ok(self.store(key, value))
        } else {
            Err(Error::Conflict)
        }
    }

    async fn accept_others(&self, requests: Vec<Request>) {
        for request in requests {
            self.record("other operator", request.operator.as_str());
            let outcome = Box::pin(apply_change(self, request)).await;
            assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
        }
    }
}

impl Store for Fake {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        let call = format!("get {key}");
        if self.is_down.get() || self.fault(&call).is_some() {
            self.record(&call, "unavailable");
            return Err(Error::Unavailable("down".to_owned()));
        }
        let object = self.objects.borrow().get(key).cloned();
        self.record(&call, if object.is_some() { "found" } else { "absent" });
        Ok(object)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let call = format!("put {key}");
        let result = match self.fault(&call) {
            None => self.put_now(key, value, condition),
            Some(Fault::LostBeforeEffect) => Err(Error::Unknown("cut".to_owned())),
            Some(Fault::OutageAfterEffect) => {
                self.is_down.set(true);
                self.put_now(key, value, condition)
                    .and(Err(Error::Unknown("cut".to_owned())))
            }
            Some(Fault::Unavailable) => Err(Error::Unavailable("down".to_owned())),
            Some(Fault::LostAfterEffect) => self
                .put_now(key, value, condition)
                .and(Err(Error::Unknown("cut".to_owned()))),
            Some(Fault::Superseded(requests)) => {
                self.accept_others(requests).await;
                self.put_now(key, value, condition)
            }
            Some(Fault::LostThenSuperseded(requests)) => {
                let result = self.put_now(key, value, condition);
                self.accept_others(requests).await;
                result.and(Err(Error::Unknown("cut".to_owned())))
            }
        };
        let outcome = match &result {
            Ok(_) => "written",
            Err(Error::Compacted) => "compacted",
            Err(Error::Conflict) => "conflict",
            Err(Error::Restored) => "restored",
            Err(Error::Unavailable(_)) => "unavailable",
            Err(Error::Unknown(_)) => "answer lost",
            Err(Error::Refused(_)) => "refused",
        };
        self.record(&call, outcome);
        result
    }

    async fn watch(&self, key: &Key, _: Revision, _: Span) -> Result<Option<Object>, Error> {
        self.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error> {
        let objects = self.objects.borrow();
        let keys = objects.keys();
        Ok(keys
            .filter(|key| key.as_str().starts_with(prefix))
            .cloned()
            .collect())
    }

    async fn delete(&self, key: &Key) -> Result<(), Error> {
        let call = format!("delete {key}");
        if let Some(Fault::Superseded(requests)) = self.fault(&call) {
            self.accept_others(requests).await;
        }
        self.objects.borrow_mut().remove(key);
        self.record(&call, "done");
        Ok(())
    }
}
