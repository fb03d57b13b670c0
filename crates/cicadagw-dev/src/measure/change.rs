//! Edits of the configuration, each accepted from within this process.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use cicadagw_accept::{Intent, Outcome, Request, apply_change};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Error, Key, Object, Revision, Store};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;

use super::configuration::EditableConfig;

/// An accepted change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Accepted {
    pub(crate) version: Version,
    /// The time at which the write of the head to the platform returned.
    pub(crate) at: Instant,
}

/// Edits the configuration and accepts it.
pub(crate) struct Operator {
    store: TimedStore,
    configuration: EditableConfig,
    /// The newest accepted version.
    version: Version,
}

impl Operator {
    /// Creates an operator for the platform at `platform`, with a configuration of `services`
    /// services.
    pub(crate) fn new(platform: SocketAddr, services: usize) -> Self {
        let client = Client::builder().addresses(&[platform]).build();
        Self {
            store: TimedStore {
                client,
                head_written: Cell::default(),
            },
            configuration: EditableConfig::new(services),
            version: Version::default(),
        }
    }

    /// Returns the configuration as last edited.
    pub(crate) const fn configuration(&self) -> &EditableConfig {
        &self.configuration
    }

    /// Returns the newest accepted version.
    pub(crate) const fn version(&self) -> Version {
        self.version
    }

    /// Edits one route and accepts the configuration; the first call accepts it unedited.
    pub(crate) async fn change(&mut self) -> io::Result<Accepted> {
        if self.version > Version::default() {
            self.configuration.edit();
        }
        let request = Request {
            base: None,
            change: change_id()?,
            intent: Intent::Apply {
                config: Box::new(self.configuration.config()?),
                preset: None,
            },
            operator: "asha".parse().map_err(io::Error::other)?,
            trial: false,
        };
        let Outcome::Accepted(entry) = apply_change(&self.store, request).await else {
            return Err(io::Error::other("the change was not accepted"));
        };
        self.version = entry.stamp.version;
        let at = self.store.head_written.get();
        let at = at.ok_or_else(|| {
            io::Error::other("the change was accepted, but the head was not written")
        })?;
        Ok(Accepted {
            version: self.version,
            at,
        })
    }
}

/// Returns a random change id.
fn change_id() -> io::Result<cicadagw_unit::id::Change> {
    let text = format!("change-{:016x}", rand::random::<u64>());
    text.parse().map_err(io::Error::other)
}

/// A store client that records when the last write of the head returned.
struct TimedStore {
    client: Client,
    head_written: Cell<Option<Instant>>,
}

impl Store for TimedStore {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.client.get(key).await
    }

    async fn put(&self, key: &Key, value: Bytes, condition: Condition) -> Result<Revision, Error> {
        let response = self.client.put(key, value, condition).await;
        if response.is_ok() && *key == Key::head() {
            self.head_written.set(Some(Instant::now()));
        }
        response
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
