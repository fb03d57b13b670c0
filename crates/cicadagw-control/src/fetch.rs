//! How a node without a parent learns of changes from the platform.

use cicadagw_config::{Config, Delta, Head, Snapshot, head, part};
use cicadagw_platform::{Error, Key, Object, Revision};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Digest, Version};

use crate::adopt::Holder;
use crate::platform::{Call, Purpose, Request, Response};

/// How long one watch waits.
const WATCH_WAIT: Span = Span::seconds(20);

/// How long to wait after a call failed.
const RETRY_WAIT: Span = Span::new(500);

/// How long to wait when a version could not be had whole either.
const REPAIR_WAIT: Span = Span::seconds(10);

/// The longest way of deltas that is taken instead of a whole snapshot.
const DELTAS_MAX: usize = 8;

/// What a fetch has come to.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// Nothing is to be done.
    Nothing,
    /// These calls are to be made.
    Calls(Vec<Call>),
    /// A snapshot was put together.
    Offer(Box<Snapshot>),
    /// A version cannot be had.
    Refused(Version, String),
}

/// Watches the head and fetches what it names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetch {
    known: Revision,
    /// Whether the last watch told of nothing; the next look then reads the head as it is, since a
    /// platform set back to a backup counts its revisions from a lower one.
    is_quiet: bool,
    watching: bool,
    next: Timestamp,
    plan: Option<Plan>,
    /// How many parts were asked for and not answered.
    outstanding: usize,
    /// The version for which deltas led nowhere.
    whole_for: Option<Version>,
}

/// Parts that are on their way.
#[derive(Clone, Debug)]
struct Plan {
    target: head::Entry,
    kind: Kind,
    digests: Vec<Digest>,
    parts: Vec<Option<Vec<u8>>>,
}

/// What the parts hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Deltas,
    Whole,
}

impl Fetch {
    /// Looks at the head when no call is under way.
    pub(crate) fn tick(&mut self, now: Timestamp, wanted: bool) -> Option<Call> {
        let is_busy = self.watching || self.plan.is_some() || self.outstanding > 0;
        if !wanted || is_busy || now < self.next {
            return None;
        }
        self.watching = true;
        let request = if self.is_quiet {
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

    /// Takes the answer to a watch.
    pub(crate) fn head(
        &mut self,
        now: Timestamp,
        answer: Result<Response, Error>,
        holder: &Holder,
    ) -> Outcome {
        self.watching = false;
        let was_quiet = std::mem::take(&mut self.is_quiet);
        match answer {
            Ok(Response::Object(Some(object))) => self.read(&object, holder),
            Ok(_) => {
                self.is_quiet = !was_quiet;
                Outcome::Nothing
            }
            Err(_) => {
                self.next = now.after(RETRY_WAIT);
                Outcome::Nothing
            }
        }
    }

    /// Takes a part.
    pub(crate) fn part(
        &mut self,
        now: Timestamp,
        index: usize,
        answer: Result<Response, Error>,
        holder: &Holder,
    ) -> Outcome {
        self.outstanding = self.outstanding.saturating_sub(1);
        let Some(plan) = &mut self.plan else {
            return Outcome::Nothing;
        };
        let bytes = match answer {
            Ok(Response::Object(Some(object))) => object.value.to_vec(),
            Ok(_) => return self.give_up(now, "a part is not there"),
            // The platform is away: that speaks neither for nor against the version.
            Err(_) => return self.put_off(now),
        };
        if !part::is_intact(plan.digests[index], &bytes) {
            return self.give_up(now, "a part has another digest");
        }
        plan.parts[index] = Some(bytes);
        if plan.parts.iter().any(Option::is_none) {
            return Outcome::Nothing;
        }
        let parts = plan.parts.iter().flatten().cloned().collect();
        self.assemble(now, parts, holder)
    }

    fn read(&mut self, object: &Object, holder: &Holder) -> Outcome {
        self.known = object.revision;
        let head = match serde_json::from_slice::<Head>(&object.value) {
            Ok(head) if !head.history.is_empty() => head,
            _ => {
                return Outcome::Refused(
                    holder.highest_seen().next(),
                    "the head cannot be read".to_owned(),
                );
            }
        };
        if head.version() <= holder.stamp().version {
            return Outcome::Nothing;
        }
        let plan = Plan::new(&head, holder, self.whole_for);
        let calls = plan.calls();
        self.outstanding = calls.len();
        self.plan = Some(plan);
        Outcome::Calls(calls)
    }

    /// Ends the plan; the head is read again after a while, and then fetched whole.
    fn give_up(&mut self, now: Timestamp, reason: &str) -> Outcome {
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

    /// Ends the plan; the head is read again after a while.
    fn put_off(&mut self, now: Timestamp) -> Outcome {
        self.plan = None;
        self.known = Revision::default();
        self.next = now.after(RETRY_WAIT);
        Outcome::Nothing
    }

    fn assemble(&mut self, now: Timestamp, parts: Vec<Vec<u8>>, holder: &Holder) -> Outcome {
        let Some(plan) = &self.plan else {
            return Outcome::Nothing;
        };
        if plan.target.stamp.version <= holder.stamp().version {
            // A parent was faster.
            self.plan = None;
            return Outcome::Nothing;
        }
        let snapshot = match plan.kind {
            Kind::Whole => plan.whole(&parts),
            Kind::Deltas => plan.follow(parts, holder),
        };
        match snapshot {
            Ok(snapshot) => {
                self.plan = None;
                Outcome::Offer(Box::new(snapshot))
            }
            Err(reason) => self.give_up(now, &reason),
        }
    }
}

impl Plan {
    fn new(head: &Head, holder: &Holder, whole_for: Option<Version>) -> Self {
        let target = head.newest().clone();
        let deltas = (whole_for != Some(target.stamp.version))
            .then(|| deltas(head, holder))
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

    fn calls(&self) -> Vec<Call> {
        let digests = self.digests.iter().enumerate();
        digests
            .map(|(index, digest)| Call {
                purpose: Purpose::Part(index),
                request: Request::Get(Key::part(*digest)),
            })
            .collect()
    }

    fn whole(&self, parts: &[Vec<u8>]) -> Result<Snapshot, String> {
        let config: Config = part::unpack(parts).map_err(|error| error.to_string())?;
        Ok(Snapshot {
            config,
            preset: self.target.preset.clone(),
            stamp: self.target.stamp,
        })
    }

    fn follow(&self, parts: Vec<Vec<u8>>, holder: &Holder) -> Result<Snapshot, String> {
        let held = holder.held().ok_or("nothing is held")?;
        let mut snapshot = (**held).clone();
        for part in parts {
            let delta: Delta = part::unpack(&[part]).map_err(|error| error.to_string())?;
            snapshot = delta.apply(&snapshot).map_err(|error| error.to_string())?;
        }
        if snapshot.stamp == self.target.stamp {
            Ok(snapshot)
        } else {
            Err("the deltas lead elsewhere".to_owned())
        }
    }
}

/// Returns the deltas from what is held to the newest version, oldest first, when the head names
/// them all and they are few.
fn deltas(head: &Head, holder: &Holder) -> Option<Vec<Digest>> {
    let base = holder.stamp();
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
