//! Commands that follow the status of the fleet until every node holds a version.

use std::collections::BTreeMap;

use cicadagw_platform::{Key, Revision, Store};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Version, id};
use cicadagw_wire::Status;
use tokio::time::Instant;

use crate::{Domain, Exit, Failure, Fleet, Output, RateLimiter};

/// The least average time between two reads of the platform; bursts of [`READ_BURST`] are exempt.
const READ_INTERVAL: Span = Span::new(200);

/// How many reads may be made at once after a pause.
const READ_BURST: u64 = 5;

/// How long one watch of a status object waits for a change.
const WATCH_TIMEOUT: Span = Span::seconds(2);

/// How often the failure domains are listed again.
const LIST_INTERVAL: Span = Span::seconds(5);

/// Reads the status of the fleet at a bounded rate.
pub struct Follower<'s, S> {
    fleet: Fleet,
    listed: Option<Timestamp>,
    rate_limiter: RateLimiter,
    start: Instant,
    store: &'s S,
}

impl<'s, S: Store> Follower<'s, S> {
    /// Creates a follower that has read nothing yet.
    pub fn new(store: &'s S) -> Self {
        Self {
            fleet: Fleet::default(),
            listed: None,
            rate_limiter: RateLimiter::new(READ_INTERVAL, READ_BURST),
            start: Instant::now(),
            store,
        }
    }

    /// Reads and shows the status of the fleet once.
    ///
    /// # Errors
    ///
    /// Fails if the platform is unavailable, or its content cannot be read.
    pub async fn once(&mut self) -> Result<Output, Failure> {
        let version = self.version().await?;
        self.list().await?;
        Ok(self.output(version))
    }

    /// Calls `progress` on every change of the status and on an outage of the platform; returns
    /// only on an error.
    ///
    /// # Errors
    ///
    /// Fails if the content of the platform cannot be read.
    pub async fn watch(
        &mut self,
        mut progress: impl FnMut(&Result<Output, Failure>),
    ) -> Result<Output, Failure> {
        let mut last = None;
        loop {
            let outcome = self.once().await;
            match outcome {
                Err(failure) if failure.exit != Exit::Unavailable => return Err(failure),
                outcome if last.as_ref() == Some(&outcome) => {}
                outcome => {
                    progress(&outcome);
                    last = Some(outcome);
                }
            }
        }
    }

    /// Waits until every node of every failure domain holds `version`; calls `progress` on every
    /// change.
    ///
    /// # Errors
    ///
    /// Fails if that takes longer than `timeout`, or `version` was never accepted.
    pub async fn wait(
        &mut self,
        version: Version,
        timeout: Span,
        mut progress: impl FnMut(&str),
    ) -> Result<Output, Failure> {
        let deadline = self.now().after(timeout);
        let mut accepted = false;
        let mut last = String::new();
        loop {
            let outcome = self.round(version, deadline, &mut accepted).await;
            let line = match outcome {
                Ok(()) if self.fleet.holds(version) => return Ok(self.output(version)),
                Ok(()) if self.now() >= deadline => return Err(self.timed_out(version, timeout)),
                Ok(()) => self.fleet.progress(version),
                Err(failure) if failure.exit != Exit::Unavailable => return Err(failure),
                Err(failure) if self.now() >= deadline => return Err(failure),
                Err(failure) => failure.message,
            };
            if line != last {
                progress(&line);
                last = line;
            }
        }
    }

    /// Makes the reads of one round: lists the failure domains if that is due, and otherwise
    /// watches the status of the first one that does not hold `version`.
    async fn round(
        &mut self,
        version: Version,
        deadline: Timestamp,
        accepted: &mut bool,
    ) -> Result<(), Failure> {
        if !*accepted {
            self.require_accepted(version).await?;
            *accepted = true;
        }
        let listed = self.listed;
        let is_due = listed.is_none_or(|listed| self.now().since(listed) >= LIST_INTERVAL);
        if is_due || self.fleet.domains.is_empty() {
            return self.list().await;
        }
        let behind = self.fleet.first_behind(version);
        let Some((name, domain)) = behind.map(|(name, domain)| (name.clone(), domain.clone()))
        else {
            return Ok(());
        };
        let wait = deadline.since(self.now()).min(WATCH_TIMEOUT);
        self.throttle().await;
        let key = Key::status(&name);
        if let Some(object) = self.store.watch(&key, domain.revision, wait).await? {
            let domain = domain_of(object.revision, &object.value);
            self.fleet.domains.insert(name, domain);
        }
        Ok(())
    }

    /// Lists the failure domains and reads the status of each.
    async fn list(&mut self) -> Result<(), Failure> {
        self.throttle().await;
        let directories = self.store.list(Key::DIRECTORY_PREFIX).await?;
        let mut domains = BTreeMap::new();
        for key in directories {
            let name = key.as_str().strip_prefix(Key::DIRECTORY_PREFIX);
            let Some(name) = name.and_then(|name| name.parse::<id::Domain>().ok()) else {
                continue;
            };
            self.throttle().await;
            let object = self.store.get(&Key::status(&name)).await?;
            let domain = object
                .map(|object| domain_of(object.revision, &object.value))
                .unwrap_or_default();
            domains.insert(name, domain);
        }
        self.fleet = Fleet { domains };
        self.listed = Some(self.now());
        Ok(())
    }

    /// Fails if `version` was never accepted.
    async fn require_accepted(&mut self, version: Version) -> Result<(), Failure> {
        let newest = self.version().await?;
        if version <= newest {
            return Ok(());
        }
        Err(Failure::new(
            Exit::Refused,
            format!("version {version} was never accepted; the newest is {newest}"),
            "give a version that `cicadactl history` lists",
        ))
    }

    /// Returns the active version; zero when there is none.
    async fn version(&mut self) -> Result<Version, Failure> {
        self.throttle().await;
        let stored = cicadagw_accept::read_head(self.store).await?;
        Ok(stored.map_or(Version::default(), |stored| stored.head.version()))
    }

    /// Returns the failure of a wait that timed out.
    fn timed_out(&self, version: Version, timeout: Span) -> Failure {
        Failure::new(
            Exit::Timeout,
            format!(
                "version {version} is not active on every node after {timeout}\n{}",
                self.fleet.text(version)
            ),
            "the change stays accepted, and nodes go on adopting it; look at the named nodes with \
             `cicadactl dump ADMIN_ADDRESS`",
        )
    }

    fn output(&self, version: Version) -> Output {
        Output {
            json: self.fleet.json(version),
            text: format!("version {version}\n{}", self.fleet.text(version)),
        }
    }

    /// Waits until the rate limit admits the next read.
    async fn throttle(&mut self) {
        let wait = self.rate_limiter.take(self.now());
        if wait > Span::default() {
            tokio::time::sleep(wait.into()).await;
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::default().after(self.start.elapsed().into())
    }
}

/// Decodes a status object; one that cannot be decoded counts as missing.
fn domain_of(revision: Revision, value: &[u8]) -> Domain {
    let status: Option<Status> = serde_json::from_slice(value).ok();
    Domain { revision, status }
}
