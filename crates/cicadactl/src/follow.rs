//! Commands that follow how a version comes into force.

use std::collections::BTreeMap;

use cicadagw_platform::{Key, Revision, Store};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Version, id};
use cicadagw_wire::Status;
use tokio::time::Instant;

use crate::{Answer, Domain, Exit, Failure, Fleet, Pace};

/// The least time between two reads of the platform, over a longer while.
const READ_EVERY: Span = Span::new(200);

/// How many reads there may be at once after a rest.
const READ_BURST: u64 = 5;

/// How long one watch of a status waits.
const WATCH: Span = Span::seconds(2);

/// How often the failure domains are listed anew.
const LIST_EVERY: Span = Span::seconds(5);

/// Reads the status of the fleet at a bounded rate.
pub struct Follower<'s, S> {
    fleet: Fleet,
    listed: Option<Timestamp>,
    pace: Pace,
    start: Instant,
    store: &'s S,
}

impl<'s, S: Store> Follower<'s, S> {
    /// Starts to follow.
    pub fn new(store: &'s S) -> Self {
        Self {
            fleet: Fleet::default(),
            listed: None,
            pace: Pace::new(READ_EVERY, READ_BURST),
            start: Instant::now(),
            store,
        }
    }

    /// Shows once how the fleet stands.
    ///
    /// # Errors
    ///
    /// When the platform cannot be used.
    pub async fn once(&mut self) -> Result<Answer, Failure> {
        let version = self.version().await?;
        self.list().await?;
        Ok(self.answer(version))
    }

    /// Tells `progress` whenever something changes, until the process is ended; an outage of the
    /// platform is told as well.
    ///
    /// # Errors
    ///
    /// When what the platform holds cannot be read.
    pub async fn watch(
        &mut self,
        mut progress: impl FnMut(&Result<Answer, Failure>),
    ) -> Result<Answer, Failure> {
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

    /// Waits until every node of every failure domain holds `version`.
    ///
    /// # Errors
    ///
    /// When that is not so within `timeout`, or `version` was never accepted.
    pub async fn wait(
        &mut self,
        version: Version,
        timeout: Span,
        mut progress: impl FnMut(&str),
    ) -> Result<Answer, Failure> {
        let deadline = self.now().after(timeout);
        let mut accepted = false;
        let mut last = String::new();
        loop {
            let outcome = self.round(version, deadline, &mut accepted).await;
            let line = match outcome {
                Ok(()) if self.fleet.holds(version) => return Ok(self.answer(version)),
                Ok(()) if self.now() >= deadline => return Err(self.late(version, timeout)),
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

    /// Reads what may have changed since the last round.
    async fn round(
        &mut self,
        version: Version,
        deadline: Timestamp,
        accepted: &mut bool,
    ) -> Result<(), Failure> {
        if !*accepted {
            self.must_be_accepted(version).await?;
            *accepted = true;
        }
        let listed = self.listed;
        let is_due = listed.is_none_or(|listed| self.now().since(listed) >= LIST_EVERY);
        if is_due || self.fleet.domains.is_empty() {
            return self.list().await;
        }
        let behind = self.fleet.behind(version);
        let Some((name, domain)) = behind.map(|(name, domain)| (name.clone(), domain.clone()))
        else {
            return Ok(());
        };
        let wait = deadline.since(self.now()).min(WATCH);
        self.turn().await;
        let key = Key::status(&name);
        if let Some(object) = self.store.watch(&key, domain.revision, wait).await? {
            let domain = domain_of(object.revision, &object.value);
            self.fleet.domains.insert(name, domain);
        }
        Ok(())
    }

    /// Reads which failure domains there are, and the status of each.
    async fn list(&mut self) -> Result<(), Failure> {
        self.turn().await;
        let directories = self.store.list(Key::DIRECTORY_PREFIX).await?;
        let mut domains = BTreeMap::new();
        for key in directories {
            let name = key.as_str().strip_prefix(Key::DIRECTORY_PREFIX);
            let Some(name) = name.and_then(|name| name.parse::<id::Domain>().ok()) else {
                continue;
            };
            self.turn().await;
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

    async fn must_be_accepted(&mut self, version: Version) -> Result<(), Failure> {
        let newest = self.version().await?;
        if version <= newest {
            return Ok(());
        }
        Err(Failure::new(
            Exit::Refused,
            format!("version {version} was never accepted; the newest is {newest}"),
            "take a version that `cicadactl history` shows",
        ))
    }

    /// Returns the version in force; zero when there is none.
    async fn version(&mut self) -> Result<Version, Failure> {
        self.turn().await;
        let found = cicadagw_accept::head(self.store).await?;
        Ok(found.map_or(Version::default(), |found| found.head.version()))
    }

    fn late(&self, version: Version, timeout: Span) -> Failure {
        Failure::new(
            Exit::Timeout,
            format!(
                "version {version} is not in force everywhere after {timeout}\n{}",
                self.fleet.text(version)
            ),
            "the change stays accepted, and nodes go on towards it; look at the named nodes with \
             `cicadactl dump ADMIN_ADDRESS`",
        )
    }

    fn answer(&self, version: Version) -> Answer {
        Answer {
            json: self.fleet.json(version),
            text: format!("version {version}\n{}", self.fleet.text(version)),
        }
    }

    /// Waits until the next read may be made.
    async fn turn(&mut self) {
        let wait = self.pace.take(self.now());
        if wait > Span::default() {
            tokio::time::sleep(wait.into()).await;
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::default().after(self.start.elapsed().into())
    }
}

/// Reads a status; one that cannot be read counts as missing.
fn domain_of(revision: Revision, value: &[u8]) -> Domain {
    let status: Option<Status> = serde_json::from_slice(value).ok();
    Domain { revision, status }
}
