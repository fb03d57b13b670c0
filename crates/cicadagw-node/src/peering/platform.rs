//! The platform duty: makes the calls to the platform and to other nodes that the gossip duty
//! requests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use cicadagw_config::{Snapshot, part};
use cicadagw_gossip::{Call, Member, Orders, Reply};
use cicadagw_meter::{Meter, Operation, PlatformOutcome};
use cicadagw_platform::http::Client;
use cicadagw_platform::{Condition, Era, Error, Freshness, Key, Object, Position, Revision, Store};
use cicadagw_proxy::SNAPSHOT_PATH;
use cicadagw_rollout::Status;
use cicadagw_settings::Settings;
use cicadagw_unit::time::Span;
use cicadagw_unit::{Term, id};
use tokio_util::sync::CancellationToken;

use super::rings;
use crate::Adapter;

/// The timeout of a call to the platform or to another node; the wait of a watch is added to it.
const CALL_TIMEOUT: Span = Span::seconds(2);

/// How many ignored node objects are logged in the lifetime of the process.
const IGNORED_MAX: usize = 256;

/// Makes calls concurrently until `cancel` is cancelled or the ring of calls is closed. The
/// `User-Agent` header of the calls is the name of the node.
pub(crate) async fn run(
    settings: Settings,
    adapter: Adapter,
    rings: rings::Platform,
    meter: Meter,
    cancel: CancellationToken,
) -> io::Result<()> {
    let client = Client::builder()
        .addresses(&settings.platform)
        .agent(settings.node.as_str())
        .timeout(CALL_TIMEOUT)
        .encoding(adapter.encoding.clone())
        .build();
    let worker = Rc::new(Worker {
        adapter,
        client,
        era: Cell::new(None),
        meter,
        ignored: RefCell::default(),
        key: Key::node(&settings.node),
        written: Cell::new(None),
    });
    loop {
        let call = tokio::select! {
            () = cancel.cancelled() => return Ok(()),
            call = rings.calls.recv() => call,
        };
        let Some(call) = call else { return Ok(()) };
        let worker = worker.clone();
        let replies = rings.replies.clone();
        actix::spawn(async move {
            let reply = worker.clone().reply(call).await;
            if let Some(era) = worker.notice_restore() {
                replies.send(Reply::Restored(era)).await.ok();
            }
            // Sending fails only when the gossip duty has ended, and then the reply is not needed.
            replies.send(reply).await.ok();
        });
    }
}

/// The state shared by all calls in progress.
struct Worker {
    adapter: Adapter,
    client: Client,
    /// The era of the platform's store when [`Worker::notice_restore`] was last called.
    era: Cell<Option<Era>>,
    meter: Meter,
    /// The keys of the node objects that cannot be decoded, so that each is logged once.
    ignored: RefCell<BTreeSet<Key>>,
    /// The key of the object that describes this node.
    key: Key,
    /// The revision of that object, unless another one may have been written since.
    written: Cell<Option<Revision>>,
}

impl Worker {
    /// Makes one call and returns its reply, in any case: the gossip duty makes the call again only
    /// after that.
    async fn reply(self: Rc<Self>, call: Call) -> Reply {
        let reason = "the call ended with a panic";
        let failure = call.failure(Error::Unavailable(reason.to_owned()));
        let executing = actix::spawn(async move { self.execute(call).await });
        executing.await.unwrap_or_else(|error| {
            log::error!(error:%, next = "the call counts as failed"; "a call to the platform panicked");
            failure
        })
    }

    /// Makes one call, counts it if it goes to the platform, and returns its reply.
    async fn execute(&self, call: Call) -> Reply {
        match call {
            Call::Register { member, create } => {
                let registering = self.register(&member, create);
                Reply::Registered(self.observe(Operation::Put, registering).await)
            }
            Call::ListMembers(freshness) => {
                let listing = self.members(freshness);
                Reply::Members(self.observe(Operation::Get, listing).await)
            }
            Call::ReadConfiguration { at } => {
                Reply::Read(at, self.observe(Operation::Get, self.read()).await)
            }
            Call::WatchConfiguration { after, wait } => {
                let watching = self.watch(after, wait);
                Reply::Watched(self.observe(Operation::Watch, watching).await)
            }
            Call::CheckConfiguration { after, timeout } => {
                let checking = self.check(after, timeout);
                Reply::Checked(self.observe(Operation::Check, checking).await)
            }
            Call::ListRollouts => {
                let listed = self.observe(Operation::Get, self.rollouts(None)).await;
                Reply::Rollouts(listed)
            }
            Call::WatchRollouts { after, wait } => {
                let watching = self.rollouts(Some((after, wait)));
                Reply::Rollouts(self.observe(Operation::Watch, watching).await)
            }
            Call::WriteRollout {
                service,
                status,
                term,
            } => {
                let writing = self.write_rollout(&service, &status, term);
                let written = self.observe(Operation::Put, writing).await;
                Reply::RolloutWritten(service, written)
            }
            Call::ConfirmConfiguration(inquiry) => {
                let confirming = self.confirm(inquiry.after);
                let outcome = self.observe(Operation::Check, confirming).await;
                Reply::Confirmed(inquiry, outcome)
            }
            Call::FetchConfiguration(address) => {
                let fetched = self.client.fetch(address, SNAPSHOT_PATH).await;
                Reply::Fetched(fetched.and_then(|bytes| decode_snapshot(&bytes)))
            }
        }
    }

    /// Returns the era of the platform's store if it has been restored from a copy since the last
    /// call of this function, and counts that.
    fn notice_restore(&self) -> Option<Era> {
        let latest = self.client.era();
        let known = self.era.replace(latest);
        let restored = latest.filter(|latest| known.is_some_and(|known| known < *latest));
        if restored.is_some() {
            self.meter.count_platform_restore();
        }
        restored
    }

    /// Writes the object that describes this node; with `create`, only if it does not exist yet.
    ///
    /// The platform may carry out a write seconds after its response counts as lost. So that an earlier
    /// one cannot undo a later one, each names the revision that it replaces.
    async fn register(&self, member: &Member, create: bool) -> Result<Revision, Error> {
        let value: Bytes = serde_json::to_vec(member)
            .expect("a member can be written as JSON")
            .into();
        if create {
            return self.replace(&value, Condition::Absent).await;
        }
        if let Some(revision) = self.written.get() {
            let writing = self.replace(&value, Condition::Revision(revision));
            match writing.await {
                // The revision is not that of the object any longer.
                Err(Error::Conflict | Error::Restored) => {
                    let outcome = PlatformOutcome::Answered;
                    self.meter.count_platform_call(Operation::Put, outcome);
                }
                written => return written,
            }
        }
        let reading = self.observe(Operation::Get, self.client.get(&self.key));
        let object = reading.await?.ok_or(Error::Conflict)?;
        let writing = self.replace(&value, Condition::Revision(object.revision));
        writing.await.map_err(|error| match error {
            // Whether the object exists is known.
            Error::Conflict => {
                Error::Unavailable("an earlier write was carried out late".to_owned())
            }
            error => error,
        })
    }

    /// Writes the object that describes this node under `condition`, and keeps its revision.
    async fn replace(&self, value: &Bytes, condition: Condition) -> Result<Revision, Error> {
        // A write whose response is lost may still be carried out.
        self.written.set(None);
        let written = self.client.put(&self.key, value.clone(), condition).await?;
        self.written.set(Some(written));
        Ok(written)
    }

    /// Lists the nodes; objects that cannot be decoded are left out.
    async fn members(&self, freshness: Freshness) -> Result<Vec<Member>, Error> {
        let objects = self.client.objects(Key::NODE_PREFIX, freshness).await?;
        // The list may be stale, so it counts only where nothing better is known.
        if self.written.get().is_none() {
            let own = objects.iter().find(|object| object.key == self.key);
            self.written.set(own.map(|own| own.revision));
        }
        let members = objects
            .iter()
            .filter_map(|object| self.decode_member(object));
        Ok(members.collect())
    }

    /// Decodes the object that describes a node. An object that cannot be decoded is left out, and
    /// logged when it is listed for the first time.
    fn decode_member(&self, object: &Object) -> Option<Member> {
        let log_ignored = |error: &serde_json::Error| {
            let mut ignored = self.ignored.borrow_mut();
            if ignored.len() < IGNORED_MAX && ignored.insert(object.key.clone()) {
                log::warn!(key:% = object.key, error:%; "ignored a node object that cannot be decoded");
            }
        };
        serde_json::from_slice(&object.value)
            .inspect_err(log_ignored)
            .ok()
    }

    /// Reads the configuration and the revision from which it can be watched.
    async fn read(&self) -> Result<(Revision, Option<Arc<Snapshot>>), Error> {
        match self.client.get(&Key::head()).await? {
            Some(object) => Ok((object.revision, self.decode(&object))),
            // Without a configuration there is no revision to watch from yet.
            None => Err(Error::Compacted),
        }
    }

    /// Waits at most `wait` for a configuration after the revision `after`.
    async fn watch(
        &self,
        after: Revision,
        wait: Span,
    ) -> Result<(Revision, Option<Arc<Snapshot>>), Error> {
        let position = self.client.follow(&Key::head(), after, wait).await?;
        let snapshot = position.object.and_then(|object| self.decode(&object));
        Ok((position.at, snapshot))
    }

    /// Checks whether there is a configuration after the revision `after`; the response may be stale.
    /// Returns the revision of the newest one, whether or not it can be decoded.
    async fn check(
        &self,
        after: Revision,
        timeout: Span,
    ) -> Result<(Revision, Option<Arc<Snapshot>>), Error> {
        Ok(
            match self.client.check(&Key::head(), after, timeout).await? {
                Some(object) => (object.revision, self.decode(&object)),
                None => (after, None),
            },
        )
    }

    /// Lists the orders of rollouts, or waits for changes after a revision. Orders that cannot be
    /// decoded are logged.
    async fn rollouts(&self, since: Option<(Revision, Span)>) -> Result<Orders, Error> {
        let changes = self.client.tracked(Key::ROLLOUT_PREFIX, since).await?;
        let mut orders = Orders {
            at: changes.at,
            is_complete: since.is_none() && !changes.has_more,
            ..Orders::default()
        };
        for object in &changes.objects {
            match (self.adapter.parse_rollout)(object) {
                Ok(entry) => orders.entries.push(entry),
                Err(findings) => {
                    log::error!(key:% = object.key, revision:% = object.revision, findings:%, next = "the order before it stays in force"; "an order of a rollout cannot be read");
                    let name = object.key.as_str().strip_prefix(Key::ROLLOUT_PREFIX);
                    orders
                        .unreadable
                        .extend(name.and_then(|name| name.parse().ok()));
                }
            }
        }
        Ok(orders)
    }

    /// Writes the status of the order of a rollout, if nobody has changed the order since `term`.
    async fn write_rollout(
        &self,
        service: &id::Service,
        status: &Status,
        term: Term,
    ) -> Result<Term, Error> {
        let key = Key::rollout(service);
        let bytes = (self.adapter.render_rollout)(status);
        let written = self.client.put_status(&key, &bytes, Revision::from(term));
        written.await.map(Term::from)
    }

    /// Asks whether there is a configuration after the revision `after`, or reads it if there is no
    /// such revision. Returns a revision up to which all changes are known, and the configuration if
    /// there is one. Neither may be stale.
    async fn confirm(
        &self,
        after: Option<Revision>,
    ) -> Result<(Revision, Option<Arc<Snapshot>>), Error> {
        let key = Key::head();
        let position = match after {
            Some(after) => Some(self.client.follow(&key, after, Span::new(0)).await?),
            None => None,
        };
        let (at, object) = match position {
            Some(Position { at, object: None }) => return Ok((at, None)),
            Some(Position {
                at,
                object: Some(object),
            }) if at > object.revision => (at, object),
            // The changes may continue after the last one of the response.
            _ => {
                let object = self.client.get(&key).await?.ok_or(Error::Compacted)?;
                (object.revision, object)
            }
        };
        let snapshot = self.decode(&object).ok_or_else(|| {
            Error::Refused("the configuration that is in force cannot be read".to_owned())
        })?;
        Ok((at, Some(snapshot)))
    }

    /// Decodes a configuration. One that cannot be decoded is logged and ignored as a whole.
    fn decode(&self, object: &Object) -> Option<Arc<Snapshot>> {
        (self.adapter.parse_snapshot)(&object.value)
            .map(Arc::new)
            .map_err(|findings| {
                log::error!(revision:% = object.revision, findings:%, next = "the node keeps its current configuration"; "a configuration cannot be read");
            })
            .ok()
    }

    /// Waits for the outcome of a platform call, counts it and returns it unchanged. A conflict is an
    /// expected outcome of a conditional write; all other errors count as failed.
    async fn observe<T>(
        &self,
        operation: Operation,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let begin = Instant::now();
        let outcome = call.await;
        let platform_outcome = match &outcome {
            Ok(_) | Err(Error::Conflict) => PlatformOutcome::Answered,
            Err(error) => {
                let pending_ms = u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX);
                log::info!(operation:%, pending_ms, error:%; "a call to the platform failed");
                PlatformOutcome::Failed
            }
        };
        self.meter.count_platform_call(operation, platform_outcome);
        outcome
    }
}

/// Decodes a snapshot that another node sent, and checks its digest.
fn decode_snapshot(bytes: &[u8]) -> Result<Arc<Snapshot>, Error> {
    let snapshot: Snapshot =
        part::decompress(bytes).map_err(|error| Error::Refused(error.to_string()))?;
    if snapshot.is_intact() {
        Ok(Arc::new(snapshot))
    } else {
        let reason = "the digest of the content differs from the one that it states";
        Err(Error::Refused(reason.to_owned()))
    }
}
