//! `status` follows a version until every failure domain holds it, at a bounded rate of reads.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use bytes::Bytes;
use cicadactl::follow::Follower;
use cicadactl::{Exit, RateLimiter};
use cicadagw_accept::{Intent, Outcome, Request, apply_change};
use cicadagw_config::load;
use cicadagw_platform::{Condition, Error, Key, Object, Revision, Store};
use cicadagw_unit::Version;
use cicadagw_unit::time::{Span, Timestamp};
use serde_json::json;
use tokio::time::{Duration, Instant, sleep_until, timeout};

/// The average rate of reads, per second, that must not be exceeded.
const READS_PER_SECOND: u64 = 5;

/// A write that takes effect at a given time.
struct Write {
    at: Instant,
    key: Key,
    value: Bytes,
}

/// A store in memory to which scheduled writes are made as time passes.
struct FakeStore {
    down_until: Cell<Instant>,
    objects: RefCell<BTreeMap<Key, Object>>,
    reads: RefCell<Vec<Instant>>,
    revisions: Cell<u64>,
    start: Instant,
    writes: RefCell<Vec<Write>>,
}

impl FakeStore {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            down_until: Cell::new(start),
            objects: RefCell::default(),
            reads: RefCell::default(),
            revisions: Cell::new(0),
            start,
            writes: RefCell::default(),
        }
    }

    /// Schedules a write of the status of `domain` after `seconds`.
    fn status(&self, seconds: u64, domain: &str, version: u64) {
        let value = json!({
            "domain": domain,
            "newest": version,
            "report": { "lowest": version, "count": 3, "serving": 3 },
            "root": "root",
            "written": seconds,
        });
        self.write(seconds, &format!("status/{domain}"), value.to_string());
    }

    /// Schedules a write after `seconds`.
    fn write(&self, seconds: u64, key: &str, value: String) {
        self.writes.borrow_mut().push(Write {
            at: self.start + Duration::from_secs(seconds),
            key: Key::from_wire(key),
            value: value.into(),
        });
    }

    fn set(&self, key: &Key, value: Bytes) -> Revision {
        self.revisions.set(self.revisions.get() + 1);
        let revision = Revision::new(self.revisions.get());
        let object = Object {
            key: key.clone(),
            revision,
            value,
        };
        self.objects.borrow_mut().insert(key.clone(), object);
        revision
    }

    /// Counts a read, makes the writes that are due, and fails during an outage.
    fn record_read(&self) -> Result<(), Error> {
        self.reads.borrow_mut().push(Instant::now());
        self.write_due();
        if Instant::now() < self.down_until.get() {
            return Err(Error::Unavailable("down".to_owned()));
        }
        Ok(())
    }

    fn write_due(&self) {
        let now = Instant::now();
        let writes = self.writes.take();
        let (due, later) = writes.into_iter().partition(|write| write.at <= now);
        self.writes.replace(later);
        let due: Vec<Write> = due;
        for write in due {
            self.set(&write.key, write.value);
        }
    }

    /// Returns the object if it was written after the revision `after`.
    fn newer(&self, key: &Key, after: Revision) -> Option<Object> {
        let object = self.objects.borrow().get(key).cloned();
        object.filter(|object| object.revision > after)
    }

    /// Returns the number of reads in the busiest ten seconds.
    fn reads_in_busiest_ten_seconds(&self) -> usize {
        let reads = self.reads.borrow();
        let within = |from: Instant| {
            let to = from + Duration::from_secs(10);
            reads
                .iter()
                .filter(|read| (from..to).contains(*read))
                .count()
        };
        reads.iter().map(|read| within(*read)).max().unwrap_or(0)
    }
}

impl Store for FakeStore {
    async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        self.record_read()?;
        Ok(self.objects.borrow().get(key).cloned())
    }

    async fn put(&self, key: &Key, value: Bytes, _: Condition) -> Result<Revision, Error> {
        Ok(self.set(key, value))
    }

    async fn watch(&self, key: &Key, after: Revision, wait: Span) -> Result<Option<Object>, Error> {
        self.record_read()?;
        let end = Instant::now() + wait.into();
        loop {
            self.write_due();
            if let Some(object) = self.newer(key, after) {
                return Ok(Some(object));
            }
            if Instant::now() >= end {
                return Ok(None);
            }
            let next = self.writes.borrow().iter().map(|write| write.at).min();
            sleep_until(next.map_or(end, |next| next.min(end))).await;
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Key>, Error> {
        self.record_read()?;
        let objects = self.objects.borrow();
        let keys = objects.keys();
        Ok(keys
            .filter(|key| key.as_str().starts_with(prefix))
            .cloned()
            .collect())
    }

    async fn delete(&self, key: &Key) -> Result<(), Error> {
        self.objects.borrow_mut().remove(key);
        Ok(())
    }
}

/// Returns a store in which version 1 is active, with two failure domains.
async fn store() -> FakeStore {
    let store = FakeStore::new();
    let config = load("shop.jsonc", r#"{ "presets": { "ordinary": {} } }"#).unwrap();
    let request = Request {
        base: None,
        change: "one".parse().unwrap(),
        intent: Intent::Apply {
            config: Box::new(config),
            preset: None,
        },
        operator: "asha".parse().unwrap(),
        trial: false,
    };
    let outcome = apply_change(&store, request).await;
    assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
    store.write(0, "directory/kochi-a", "{}".to_owned());
    store.write(0, "directory/kochi-b", "{}".to_owned());
    store.reads.borrow_mut().clear();
    store
}

/// Waits for version 1; returns the exit status, after how many seconds, and the progress lines.
async fn wait(store: &FakeStore, timeout: Span) -> (Exit, u64, String) {
    let mut lines = Vec::new();
    let progress = |line: &str| lines.push(line.to_owned());
    let mut follower = Follower::new(store);
    let outcome = follower.wait(Version::new(1), timeout, progress).await;
    let exit = outcome.map_or_else(|failure| failure.exit, |_| Exit::Ok);
    (exit, store.start.elapsed().as_secs(), lines.join("\n"))
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_when_every_failure_domain_holds_the_version() {
    let store = store().await;
    store.status(0, "kochi-a", 0);
    store.status(4, "kochi-a", 1);
    store.status(7, "kochi-b", 1);

    let (exit, seconds, progress) = wait(&store, Span::seconds(60)).await;

    assert_eq!((exit, seconds), (Exit::Ok, 7));
    insta::assert_snapshot!(progress);
}

#[tokio::test(start_paused = true)]
async fn a_wait_times_out_while_a_failure_domain_has_no_status() {
    let store = store().await;
    store.status(0, "kochi-a", 1);

    let (exit, seconds, _) = wait(&store, Span::seconds(60)).await;

    assert_eq!((exit, seconds), (Exit::Timeout, 60));
}

#[tokio::test(start_paused = true)]
async fn a_wait_includes_a_failure_domain_that_registers_later() {
    let store = store().await;
    store.status(0, "kochi-a", 1);
    store.status(20, "kochi-b", 1);
    store.status(30, "kozhikode-a", 1);
    store.write(10, "directory/kozhikode-a", "{}".to_owned());

    let (exit, seconds, _) = wait(&store, Span::seconds(60)).await;

    assert_eq!((exit, seconds), (Exit::Ok, 30));
}

#[tokio::test(start_paused = true)]
async fn a_wait_survives_an_outage_of_the_platform() {
    let store = store().await;
    store.status(0, "kochi-a", 1);
    store.status(0, "kochi-b", 1);
    store.down_until.set(store.start + Duration::from_secs(20));

    let (exit, seconds, _) = wait(&store, Span::seconds(60)).await;

    assert_eq!((exit, seconds), (Exit::Ok, 20));
}

#[tokio::test(start_paused = true)]
async fn a_wait_reports_an_outage_that_outlasts_it() {
    let store = store().await;
    store.down_until.set(store.start + Duration::from_secs(90));

    let (exit, seconds, _) = wait(&store, Span::seconds(60)).await;

    assert_eq!((exit, seconds), (Exit::Unavailable, 60));
}

#[tokio::test(start_paused = true)]
async fn a_watch_reports_every_change_and_an_outage_once() {
    let store = store().await;
    store.status(0, "kochi-a", 1);
    store.status(0, "kochi-b", 0);
    store.status(30, "kochi-b", 1);
    store.down_until.set(store.start + Duration::from_secs(20));
    let mut outcomes = Vec::new();
    let mut follower = Follower::new(&store);

    let watching = follower.watch(|outcome| outcomes.push(outcome.clone()));
    let ended = timeout(Duration::from_mins(1), watching).await;

    let lines = outcomes.iter().map(|outcome| match outcome {
        Ok(output) => output.text.clone(),
        Err(failure) => failure.message.clone(),
    });
    let lines: Vec<String> = lines.collect();
    assert!(ended.is_err(), "{ended:?}");
    insta::assert_snapshot!(lines.join("\n\n"));
}

#[tokio::test(start_paused = true)]
async fn reads_do_not_exceed_their_rate() {
    let store = store().await;
    // A change every second, each of which ends a watch at once, and an outage.
    for second in 0..100 {
        store.status(second, "kochi-a", 0);
    }
    store.down_until.set(store.start + Duration::from_secs(50));

    wait(&store, Span::seconds(100)).await;

    let burst = READS_PER_SECOND;
    let most = 10 * READS_PER_SECOND + burst;
    assert!(
        store.reads_in_busiest_ten_seconds() as u64 <= most,
        "{}",
        store.reads_in_busiest_ten_seconds()
    );
}

#[test]
fn a_rate_limiter_admits_a_burst_and_then_one_at_a_time() {
    let mut rate_limiter = RateLimiter::new(Span::new(200), 2);
    let now = Timestamp::new(1_000);

    let waits: Vec<u64> = (0..4).map(|_| rate_limiter.take(now).get()).collect();

    assert_eq!(waits, [0, 0, 200, 400]);
}
