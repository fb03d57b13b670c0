//! Retrieval of snapshots from the platform, for nodes without a parent.

use cicadagw_config::{Config, Delta, Head, Snapshot, head, part};
use cicadagw_platform::{Error, Key, Object, Revision};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Digest, Version};

use crate::adopt::Snapshots;
use crate::platform::{Call, Purpose, Request, Response};

/// How long the platform may hold a watch request open. A watch that delivers nothing must end well
/// before a change must be in force, 3 s after it was accepted; there is one watch in the fleet, so
/// short ones are cheap.
const WATCH_WAIT: Span = Span::seconds(2);

/// How long the head may have been watched without a change before it is read unconditionally.
const QUIET_MAX: Span = Span::seconds(20);

/// Wait after a failed request, or after a version was refused for the first time.
const RETRY_WAIT: Span = Span::new(500);

/// Wait after a version was refused again, although it was fetched as a whole snapshot.
const REPAIR_WAIT: Span = Span::seconds(10);

/// Maximum number of deltas that are fetched instead of a whole snapshot.
const DELTAS_MAX: usize = 8;

/// The result of a step of the fetch.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing to do.
    Nothing,
    /// Make these requests.
    Calls(Vec<Call>),
    /// A snapshot was assembled and can be adopted.
    Offer(Box<Snapshot>),
    /// A version could not be obtained, for this reason.
    Refused(Version, String),
}

/// Watches the head object at the platform and fetches the version that it names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetch {
    /// The last revision of the head that was read.
    known: Revision,
    /// When the head was last read or seen to change. After [`QUIET_MAX`] it is read unconditionally,
    /// since a platform restored from a backup restarts at a lower revision, and a watch would miss
    /// its changes.
    read_at: Timestamp,
    /// Whether the request in flight is an unconditional read.
    is_reading: bool,
    /// Whether a watch or read of the head is in flight.
    watching: bool,
    /// Earliest time of the next request.
    next: Timestamp,
    plan: Option<Plan>,
    /// Number of part requests in flight.
    outstanding: usize,
    /// The version that could not be obtained and is fetched whole the next time.
    whole_for: Option<Version>,
}

/// A fetch in progress: the target version and the parts received so far.
#[derive(Clone, Debug)]
struct Plan {
    target: head::Entry,
    kind: Kind,
    digests: Vec<Digest>,
    parts: Vec<Option<Vec<u8>>>,
}

/// What the fetched parts contain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Each part is a delta, the oldest first.
    Deltas,
    /// The whole configuration, split into parts.
    Whole,
}

impl Fetch {
    /// Returns the request that watches or reads the head, if it is due. `wanted` tells whether
    /// this node must fetch from the platform itself; nothing is due while other requests are in
    /// flight.
    pub(crate) fn tick(&mut self, now: Timestamp, wanted: bool) -> Option<Call> {
        let is_in_flight = self.watching || self.plan.is_some() || self.outstanding > 0;
        if !wanted || is_in_flight || now < self.next {
            return None;
        }
        self.watching = true;
        self.is_reading = now.since(self.read_at) >= QUIET_MAX;
        let request = if self.is_reading {
            Request::Get(Key::head())
        } else {
            Request::Watch {
                key: Key::head(),
                after: self.known,
                wait: WATCH_WAIT,
            }
        };
        Some(Call {
            purpose: Purpose::Head,
            request,
        })
    }

    /// Processes the response to a watch or read of the head.
    pub(crate) fn head(
        &mut self,
        now: Timestamp,
        response: Result<Response, Error>,
        snapshots: &Snapshots,
    ) -> Outcome {
        self.watching = false;
        let was_reading = std::mem::take(&mut self.is_reading);
        match response {
            Ok(Response::Object(Some(object))) => {
                self.read_at = now;
                self.handle_head_object(&object, snapshots)
            }
            Ok(_) => {
                if was_reading {
                    self.read_at = now;
                }
                Outcome::Nothing
            }
            Err(_) => {
                self.next = now.after(RETRY_WAIT);
                Outcome::Nothing
            }
        }
    }

    /// Processes the response to the read of the part at `index`.
    pub(crate) fn part(
        &mut self,
        now: Timestamp,
        index: usize,
        response: Result<Response, Error>,
        snapshots: &Snapshots,
    ) -> Outcome {
        self.outstanding = self.outstanding.saturating_sub(1);
        let Some(plan) = &mut self.plan else {
            return Outcome::Nothing;
        };
        let bytes = match response {
            Ok(Response::Object(Some(object))) => object.value.to_vec(),
            Ok(_) => return self.refuse_target(now, "a part does not exist at the platform"),
            // An unavailable platform says nothing about whether the version is valid.
            Err(_) => return self.retry_later(now),
        };
        if !part::is_intact(plan.digests[index], &bytes) {
            return self.refuse_target(now, "the content of a part does not match its digest");
        }
        plan.parts[index] = Some(bytes);
        if plan.parts.iter().any(Option::is_none) {
            return Outcome::Nothing;
        }
        let parts = plan.parts.iter().flatten().cloned().collect();
        self.assemble(now, parts, snapshots)
    }

    /// Processes the head object: plans the fetch of the version that it names, if it is newer.
    fn handle_head_object(&mut self, object: &Object, snapshots: &Snapshots) -> Outcome {
        self.known = object.revision;
        let head = match serde_json::from_slice::<Head>(&object.value) {
            Ok(head) if !head.history.is_empty() => head,
            _ => {
                // The head names no version, so the failure is reported for the one that follows
                // the highest known.
                return Outcome::Refused(
                    snapshots.highest_seen().next(),
                    "the head object is unreadable or names no version".to_owned(),
                );
            }
        };
        if head.version() <= snapshots.stamp().version {
            return Outcome::Nothing;
        }
        let plan = Plan::new(&head, snapshots, self.whole_for);
        let calls = plan.calls();
        self.outstanding = calls.len();
        self.plan = Some(plan);
        Outcome::Calls(calls)
    }

    /// Abandons the version as refused; the head is read again after a wait, and the version is
    /// then fetched whole.
    fn refuse_target(&mut self, now: Timestamp, reason: &str) -> Outcome {
        let Some(plan) = self.plan.take() else {
            return Outcome::Nothing;
        };
        self.known = Revision::default();
        let is_repeated = self.whole_for == Some(plan.target.stamp.version);
        let wait = if is_repeated { REPAIR_WAIT } else { RETRY_WAIT };
        self.next = now.after(wait);
        self.whole_for = Some(plan.target.stamp.version);
        Outcome::Refused(plan.target.stamp.version, reason.to_owned())
    }

    /// Abandons the fetch without refusing the version; the head is read again after a wait.
    fn retry_later(&mut self, now: Timestamp) -> Outcome {
        self.plan = None;
        self.known = Revision::default();
        self.next = now.after(RETRY_WAIT);
        Outcome::Nothing
    }

    /// Assembles the snapshot from all parts.
    fn assemble(&mut self, now: Timestamp, parts: Vec<Vec<u8>>, snapshots: &Snapshots) -> Outcome {
        let Some(plan) = &self.plan else {
            return Outcome::Nothing;
        };
        if plan.target.stamp.version <= snapshots.stamp().version {
            // The node has joined a parent in the meantime, which has delivered the version.
            self.plan = None;
            return Outcome::Nothing;
        }
        let snapshot = match plan.kind {
            Kind::Whole => plan.whole(&parts),
            Kind::Deltas => plan.apply_deltas(parts, snapshots),
        };
        match snapshot {
            Ok(snapshot) => {
                self.plan = None;
                Outcome::Offer(Box::new(snapshot))
            }
            Err(reason) => self.refuse_target(now, &reason),
        }
    }
}

impl Plan {
    fn new(head: &Head, snapshots: &Snapshots, whole_for: Option<Version>) -> Self {
        let target = head.newest().clone();
        let deltas = (whole_for != Some(target.stamp.version))
            .then(|| deltas(head, snapshots))
            .flatten();
        let (kind, digests) = match deltas {
            Some(digests) => (Kind::Deltas, digests),
            None => (Kind::Whole, target.parts.to_vec()),
        };
        let parts = vec![None; digests.len()];
        Self {
            target,
            kind,
            digests,
            parts,
        }
    }

    /// Returns the requests that read all parts.
    fn calls(&self) -> Vec<Call> {
        let digests = self.digests.iter().enumerate();
        digests
            .map(|(index, digest)| Call {
                purpose: Purpose::Part(index),
                request: Request::Get(Key::part(*digest)),
            })
            .collect()
    }

    /// Unpacks the parts of a whole configuration.
    fn whole(&self, parts: &[Vec<u8>]) -> Result<Snapshot, String> {
        let config: Config = part::unpack(parts).map_err(|error| error.to_string())?;
        Ok(Snapshot {
            config,
            preset: self.target.preset.clone(),
            stamp: self.target.stamp,
        })
    }

    /// Applies the deltas, one in each part, to the current snapshot.
    fn apply_deltas(&self, parts: Vec<Vec<u8>>, snapshots: &Snapshots) -> Result<Snapshot, String> {
        let held = snapshots
            .held()
            .ok_or("there is no snapshot to apply the deltas to")?;
        let mut snapshot = (**held).clone();
        for part in parts {
            let delta: Delta = part::unpack(&[part]).map_err(|error| error.to_string())?;
            snapshot = delta.apply(&snapshot).map_err(|error| error.to_string())?;
        }
        if snapshot.stamp == self.target.stamp {
            Ok(snapshot)
        } else {
            Err("the deltas do not lead to the snapshot that the head names".to_owned())
        }
    }
}

/// Returns the digests of the deltas from the current snapshot to the newest version, oldest first,
/// if the head names all of them and they are at most [`DELTAS_MAX`].
fn deltas(head: &Head, snapshots: &Snapshots) -> Option<Vec<Digest>> {
    let base = snapshots.stamp();
    let index = head.history.iter().position(|entry| entry.stamp == base)?;
    if index > DELTAS_MAX {
        return None;
    }
    head.history[..index]
        .iter()
        .rev()
        .map(|entry| entry.delta)
        .collect()
}
