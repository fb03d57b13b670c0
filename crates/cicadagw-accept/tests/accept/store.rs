//! A store in memory with faults.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use cicadagw_accept::{Outcome, Request, run};
use cicadagw_platform::{Condition, Error, Key, Object, Revision, Store};
use cicadagw_unit::time::Span;

/// What goes wrong with one call.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The call takes effect and its answer is lost.
    LostAfter,
    /// The call takes no effect and its answer is lost.
    LostBefore,
    /// The call takes effect, its answer is lost, and the platform stays away.
    OutageAfter,
    /// The platform does not take the call.
    Unavailable,
    /// These requests are accepted before the call takes effect.
    Overtaken(Vec<Request>),
    /// These requests are accepted after the call took effect, and its answer is lost.
    LostThenOvertaken(Vec<Request>),
}

/// A store in memory that writes down every call.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fake {
    objects: Rc<RefCell<BTreeMap<Key, Object>>>,
    faults: Rc<RefCell<Vec<(&'static str, Fault)>>>,
    calls: Rc<RefCell<Vec<String>>>,
    is_down: Rc<Cell<bool>>,
    revisions: Rc<Cell<u64>>,
}

impl Fake {
    /// Lets the next call whose text begins with `call` go wrong.
    pub(crate) fn fail(&self, call: &'static str, fault: Fault) {
        self.faults.borrow_mut().push((call, fault));
    }

    /// Takes back the faults that did not come to pass, and returns how many there were.
    pub(crate) fn mend(&self) -> usize {
        self.faults.borrow_mut().drain(..).count()
    }

    /// Returns the calls since the last time, one a line.
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
            revision: Revision(self.revisions.get()),
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
            .position(|(begin, _)| call.starts_with(begin))?;
        Some(faults.remove(index).1)
    }

    fn write(&self, call: &str, outcome: &str) {
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
            self.write("other operator", request.operator.as_str());
            let outcome = Box::pin(run(self, request)).await;
            assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
        }
    }
}

impl Store for Fake {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        let call = format!("get {key}");
        if self.is_down.get() || self.fault(&call).is_some() {
            self.write(&call, "unavailable");
            return Err(Error::Unavailable("down".to_owned()));
        }
        let object = self.objects.borrow().get(key).cloned();
        self.write(&call, if object.is_some() { "found" } else { "absent" });
        Ok(object)
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let call = format!("put {key}");
        let answer = match self.fault(&call) {
            None => self.put_now(key, value, condition),
            Some(Fault::LostBefore) => Err(Error::Unknown("cut".to_owned())),
            Some(Fault::OutageAfter) => {
                self.is_down.set(true);
                self.put_now(key, value, condition)
                    .and(Err(Error::Unknown("cut".to_owned())))
            }
            Some(Fault::Unavailable) => Err(Error::Unavailable("down".to_owned())),
            Some(Fault::LostAfter) => self
                .put_now(key, value, condition)
                .and(Err(Error::Unknown("cut".to_owned()))),
            Some(Fault::Overtaken(requests)) => {
                self.accept_others(requests).await;
                self.put_now(key, value, condition)
            }
            Some(Fault::LostThenOvertaken(requests)) => {
                let answer = self.put_now(key, value, condition);
                self.accept_others(requests).await;
                answer.and(Err(Error::Unknown("cut".to_owned())))
            }
        };
        let outcome = match &answer {
            Ok(_) => "written",
            Err(Error::Compacted) => "forgotten",
            Err(Error::Conflict) => "conflict",
            Err(Error::Unavailable(_)) => "unavailable",
            Err(Error::Unknown(_)) => "answer lost",
            Err(Error::Refused(_)) => "refused",
        };
        self.write(&call, outcome);
        answer
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
        if let Some(Fault::Overtaken(requests)) = self.fault(&call) {
            self.accept_others(requests).await;
        }
        self.objects.borrow_mut().remove(key);
        self.write(&call, "done");
        Ok(())
    }
}
