//! How recently the platform confirmed the configuration of this node, and whom the node asks next.
//!
//! Every age is measured from the moment at which this node sent a question, to the platform or to
//! a peer, on its own clock. A delayed, frozen or duplicated answer can then only make the
//! configuration look older than it is, and clocks of other nodes do not matter.

use cicadagw_platform::Revision;
use cicadagw_unit::Version;
use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::{Span, Timestamp};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

/// The ages at which the first watchers of a region ask the platform, as shares of the limit. Only
/// the first one usually does; each further one steps in when those before it cannot.
const WATCHER_AGES: [Permille; 3] = [Permille::new(140), Permille::new(340), Permille::new(400)];

/// The share of the limit at which any other node asks the platform itself, because no peer has a
/// younger configuration.
const FALLBACK_AGE: Permille = Permille::new(440);

/// How much later, at most and at random, a node asks the platform itself.
const FALLBACK_JITTER: Permille = Permille::new(60);

/// The share of the limit at which a node asks a peer.
const QUESTION_AGE: Permille = Permille::new(260);

/// The share of the limit at which a relay, which others ask, asks a peer.
const RELAY_QUESTION_AGE: Permille = Permille::new(180);

/// Minimum time between two questions to peers.
const QUESTION_GAP: Permille = Permille::new(60);

/// How many questions to peers may be open at once.
const QUESTIONS_MAX: usize = 4;

/// Minimum time between two requests to the platform, doubled with each that fails in a row.
const INQUIRY_GAP: Permille = Permille::new(140);

/// How many failed requests to the platform make that time longer.
const DOUBLINGS_MAX: u32 = 2;

/// The newest configuration of the platform at a moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Confirmation {
    /// Every change that the platform acknowledged before this moment is known.
    pub(crate) as_of: Timestamp,
    /// A revision of the store at which the version was the newest.
    pub(crate) revision: Revision,
    /// The newest version.
    pub(crate) version: Version,
}

/// What a node knows about the age of its configuration. All times are those of the clock that
/// counts suspensions.
#[derive(Clone, Debug)]
pub(crate) struct Freshness {
    /// The confirmation with the latest moment whose version this node holds.
    held: Option<Confirmation>,
    /// The confirmation with the latest moment whose version this node does not hold yet.
    awaited: Option<Confirmation>,
    /// The open questions to peers: their numbers, and when they were sent.
    questions: SmallVec<[(u64, Timestamp); QUESTIONS_MAX]>,
    /// How many questions were sent since the configuration was last young enough.
    repeats: u32,
    /// Earliest time of the next question to a peer.
    question_due: Timestamp,
    /// Earliest time of the next request to the platform.
    inquiry_due: Timestamp,
    /// How many requests to the platform have failed since the last confirmation.
    failures: u32,
    /// How much later than usual a node that is no watcher asks the platform next.
    fallback_delay: Span,
    /// Whether the store no longer has the history since the confirmed revision.
    has_compacted: bool,
    /// The age from which calls with keys are refused.
    limit: Span,
    started: Timestamp,
}

impl Freshness {
    pub(crate) fn new(started: Timestamp, limit: Span) -> Self {
        Self {
            held: None,
            awaited: None,
            questions: SmallVec::new(),
            repeats: 0,
            question_due: Timestamp::default(),
            inquiry_due: Timestamp::default(),
            failures: 0,
            fallback_delay: Span::default(),
            has_compacted: false,
            limit,
            started,
        }
    }

    /// Returns the latest confirmation of a version that this node holds.
    pub(crate) const fn held(&self) -> Option<Confirmation> {
        self.held
    }

    /// Returns the age of the configuration; without a confirmation, the time since the start.
    pub(crate) fn age(&self, at: Timestamp) -> Span {
        at.since(self.held.map_or(self.started, |held| held.as_of))
    }

    /// Returns the revision after which a change would not be known, or `None` if the configuration
    /// must be read as a whole.
    pub(crate) fn revision(&self) -> Option<Revision> {
        let held = self.held.filter(|_| !self.has_compacted);
        held.map(|held| held.revision)
    }

    /// Returns whether this node must ask the platform now. `rank` is the number of watchers before
    /// this one, or `None` if this node does not watch the platform successfully.
    pub(crate) fn must_ask_platform(
        &mut self,
        at: Timestamp,
        rank: Option<usize>,
        rng: &mut impl Rng,
    ) -> bool {
        let due_age = match rank.and_then(|rank| WATCHER_AGES.get(rank)) {
            Some(share) => self.share(*share),
            None => self.share(FALLBACK_AGE).plus(self.fallback_delay),
        };
        if self.age(at) < due_age || at < self.inquiry_due {
            return false;
        }
        let gap = self.share(INQUIRY_GAP);
        self.inquiry_due = at.after(gap.times(1 << self.failures.min(DOUBLINGS_MAX)));
        let delay_max = self.share(FALLBACK_JITTER).get();
        self.fallback_delay = Span::new(rng.random_range(0..=delay_max));
        true
    }

    /// Returns the question that this node must send to a peer now: its number, and how many before
    /// it did not help; `None` if none is due.
    pub(crate) fn question(
        &mut self,
        at: Timestamp,
        is_relay: impl FnOnce() -> bool,
        rng: &mut impl Rng,
    ) -> Option<(u64, u32)> {
        let age = self.age(at);
        let is_young =
            age < self.share(RELAY_QUESTION_AGE) || age < self.share(QUESTION_AGE) && !is_relay();
        if self.held.is_some() && is_young {
            self.repeats = 0;
            return None;
        }
        if at < self.question_due {
            return None;
        }
        self.question_due = at.after(self.share(QUESTION_GAP));
        if self.questions.len() == QUESTIONS_MAX {
            self.questions.remove(0);
        }
        let number = rng.random();
        self.questions.push((number, at));
        let repeats = self.repeats;
        self.repeats += 1;
        Some((number, repeats))
    }

    /// Returns the confirmation that an answer to question `number` contains: the configuration of
    /// the peer had this age at some time after the question was sent. An answer to a question that
    /// is not open, such as one of an earlier process, is worthless.
    pub(crate) fn answered(
        &self,
        number: u64,
        age: Span,
        revision: Revision,
        version: Version,
    ) -> Option<Confirmation> {
        let mut questions = self.questions.iter();
        let (_, asked) = questions.find(|(open, _)| *open == number)?;
        // A moment before the origin of the clock cannot be expressed.
        (age.get() <= asked.get()).then(|| Confirmation {
            as_of: asked.before(age),
            revision,
            version,
        })
    }

    /// Takes in a confirmation, while this node holds the version `own`; returns whether it makes
    /// the configuration younger.
    pub(crate) fn confirm(&mut self, confirmation: Confirmation, own: Version) -> bool {
        let is_later = |other: Option<Confirmation>| {
            other.is_none_or(|other| other.as_of < confirmation.as_of)
        };
        if confirmation.version > own {
            if is_later(self.awaited) {
                self.awaited = Some(confirmation);
            }
            return false;
        }
        if !is_later(self.held) {
            return false;
        }
        self.held = Some(confirmation);
        self.has_compacted = false;
        self.failures = 0;
        true
    }

    /// Takes in that this node now holds the version `own`.
    pub(crate) fn adopt(&mut self, own: Version) {
        if let Some(awaited) = self.awaited.take_if(|awaited| awaited.version <= own) {
            self.confirm(awaited, own);
        }
    }

    /// Returns this share of the limit.
    const fn share(&self, share: Permille) -> Span {
        Span::new(share.of(self.limit.get()))
    }

    /// Returns whether the configuration is too old for calls with keys.
    pub(crate) fn is_stale(&self, at: Timestamp) -> bool {
        self.age(at) >= self.limit
    }

    /// Records that a request to the platform failed.
    pub(crate) const fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that the store no longer has the history since the confirmed revision.
    pub(crate) const fn forget_history(&mut self) {
        self.has_compacted = true;
    }
}
