//! The operator, who accepts changes in this process.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use cicadagw_accept::{Intent, Outcome, Request, run};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Error, Key, Object, Revision, Store};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;

use super::configuration::Edited;

/// A change that was accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accepted {
    pub(crate) version: Version,
    /// When the write of the head returned.
    pub(crate) at: Instant,
}

/// Edits the configuration and has it accepted.
pub(crate) struct Operator {
    store: Timed,
    edited: Edited,
    version: Version,
}

impl Operator {
    pub(crate) fn new(platform: SocketAddr, services: usize) -> Self {
        let client = Client::builder().addresses(&[platform]).build();
        Self {
            store: Timed {
                client,
                moved: Cell::default(),
            },
            edited: Edited::new(services),
            version: Version::default(),
        }
    }

    pub(crate) const fn edited(&self) -> &Edited {
        &self.edited
    }

    /// Returns the newest accepted version.
    pub(crate) const fn version(&self) -> Version {
        self.version
    }

    /// Edits one route and accepts the configuration; the first time it is not edited.
    pub(crate) async fn change(&mut self) -> io::Result<Accepted> {
        if self.version > Version::default() {
            self.edited.edit();
        }
        let request = Request {
            base: None,
            change: change_id()?,
            intent: Intent::Apply {
                config: Box::new(self.edited.config()?),
                preset: None,
            },
            operator: "asha".parse().map_err(io::Error::other)?,
            trial: false,
        };
        let Outcome::Accepted(entry) = run(&self.store, request).await else {
            return Err(io::Error::other("a change was not accepted"));
        };
        self.version = entry.stamp.version;
        let at = self.store.moved.get();
        let at = at.ok_or_else(|| io::Error::other("the head was not written"))?;
        Ok(Accepted {
            version: self.version,
            at,
        })
    }
}

fn change_id() -> io::Result<cicadagw_unit::id::Change> {
    let text = format!("change-{:016x}", rand::random::<u64>());
    text.parse().map_err(io::Error::other)
}

/// A store that notes when the write of the head returned.
struct Timed {
    client: Client,
    moved: Cell<Option<Instant>>,
}

impl Store for Timed {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.client.get(key).await
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let answer = self.client.put(key, value, condition).await;
        if answer.is_ok() && *key == Key::head() {
            self.moved.set(Some(Instant::now()));
        }
        answer
    }

    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error> {
        self.client.watch(key, after, wait).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error> {
        self.client.list(prefix).await
    }

    async fn delete(&self, key: &Key) -> Result<(), Error> {
        self.client.delete(key).await
    }
}
