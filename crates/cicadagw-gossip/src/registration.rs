//! Registration of this node at the platform, and discovery of the other registered nodes.

use cicadagw_platform::{Error, Freshness, Revision};
use cicadagw_unit::time::{Span, Timestamp};
use rand::{Rng, RngExt};

use crate::source::jittered;

/// Wait after the first failure; doubled for each further one.
const BACKOFF_MIN: Span = Span::new(200);

/// Maximum wait after a failure.
const BACKOFF_MAX: Span = Span::seconds(3);

/// Maximum wait after a failure while a backend server waits for an acknowledgement.
const URGENT_BACKOFF_MAX: Span = Span::new(300);

/// Interval between two lists of the nodes, which find nodes whose gossip messages were lost.
const LIST_INTERVAL: Span = Span::seconds(20);

/// Delay between the registration and the first list, so that nodes that start together find each
/// other in it.
const FIRST_LIST_DELAY: Span = Span::new(300);

/// Number of lists requested soon after the start. They are cheap: a list that may be stale costs
/// the platform a tenth of a consistent one.
const STARTUP_LISTS: u32 = 3;

/// Interval between the lists soon after the start.
const STARTUP_LIST_INTERVAL: Span = Span::new(700);

/// Maximum delay of the write of a record that the platform may have lost in a restore.
const REWRITE_DELAY_MAX: Span = Span::seconds(2);

/// A request to the platform that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Request {
    /// Write the member record of this node.
    Write {
        /// Whether the object is assumed not to exist yet: it is then created instead of updated.
        create: bool,
    },
    /// List the registered nodes; the argument tells whether the list may be stale.
    List(Freshness),
}

/// Schedules the registration of this node and the lists of the others.
#[derive(Clone, Debug)]
pub(crate) struct Registration {
    /// Earliest time of the next request.
    due: Timestamp,
    /// Number of requests that have failed in a row.
    failures: u32,
    /// Number of successful lists so far.
    lists: u32,
    in_flight: bool,
    /// Earliest time of the next list, unless the record is written first.
    list_due: Timestamp,
    /// Whether the platform holds the current record, or a write of it is in flight.
    is_written: bool,
    /// Maximum wait after a failure, without jitter.
    backoff_max: Span,
    /// Whether the object is assumed not to exist yet.
    create: bool,
}

impl Registration {
    /// Creates the schedule; `create` says whether the object is assumed not to exist yet.
    pub(crate) const fn new(create: bool) -> Self {
        Self {
            due: Timestamp::new(0),
            failures: 0,
            lists: 0,
            in_flight: false,
            list_due: Timestamp::new(0),
            is_written: false,
            backoff_max: BACKOFF_MAX,
            create,
        }
    }

    /// Returns the request that is due, unless one is in flight.
    pub(crate) fn tick(&mut self, now: Timestamp) -> Option<Request> {
        if now < self.due || self.in_flight {
            return None;
        }
        self.in_flight = true;
        // An existing object is read before it is replaced: it may name departures that an earlier
        // process of this node has acknowledged, the last one just before it ended.
        let has_read = self.create || self.lists > 0;
        if !has_read {
            return Some(Request::List(Freshness::Newest));
        }
        if self.is_written {
            return Some(Request::List(Freshness::Stale));
        }
        self.is_written = true;
        Some(Request::Write {
            create: self.create,
        })
    }

    /// Returns whether the platform has listed the nodes since the start.
    pub(crate) const fn has_listed(&self) -> bool {
        self.lists > 0
    }

    /// Writes the record again, which has changed in what must outlive the process.
    pub(crate) fn rewrite(&mut self, now: Timestamp) {
        self.is_written = false;
        if self.failures == 0 {
            self.due = now;
        }
    }

    /// Writes the record again, which names a departure that is acknowledged when it is stored: until
    /// then a failed write is repeated after [`URGENT_BACKOFF_MAX`] at the latest.
    pub(crate) const fn rewrite_urgently(&mut self, now: Timestamp) {
        self.is_written = false;
        self.backoff_max = URGENT_BACKOFF_MAX;
        self.due = now;
    }

    /// Writes the record again after at most [`REWRITE_DELAY_MAX`]: the platform may have lost the
    /// last write in a restore, which all nodes notice together.
    pub(crate) fn restored(&mut self, now: Timestamp, rng: &mut impl Rng) {
        // A write that is due anyway may publish a departure, and is not delayed.
        if self.is_written {
            let delay = rng.random_range(0..=REWRITE_DELAY_MAX.get());
            self.rewrite(now.after(Span::new(delay)));
        }
    }

    /// Processes the response to a write; a list follows a successful one.
    pub(crate) fn written(
        &mut self,
        now: Timestamp,
        outcome: &Result<Revision, Error>,
        rng: &mut impl Rng,
    ) {
        self.in_flight = false;
        match outcome {
            Ok(_) => {
                // From now on the object exists.
                self.create = false;
                if self.is_written {
                    self.backoff_max = BACKOFF_MAX;
                }
                self.failures = 0;
                if self.lists == 0 {
                    self.list_due = now.after(FIRST_LIST_DELAY);
                }
                self.due = if self.is_written { self.list_due } else { now };
            }
            // The assumption about whether the object exists was wrong: the opposite is tried
            // without a wait.
            Err(Error::Conflict) if self.failures == 0 => {
                self.is_written = false;
                self.create = !self.create;
                self.failures += 1;
                self.due = now;
            }
            Err(error) => {
                self.is_written = false;
                if *error == Error::Conflict {
                    self.create = !self.create;
                }
                self.back_off(now, rng);
            }
        }
    }

    /// Processes the response to a list; `others` is the number of other nodes known.
    pub(crate) fn listed(
        &mut self,
        now: Timestamp,
        is_answered: bool,
        others: usize,
        rng: &mut impl Rng,
    ) {
        self.in_flight = false;
        if !is_answered {
            return self.back_off(now, rng);
        }
        self.failures = 0;
        self.lists += 1;
        // An early list may predate the registration of the other nodes.
        let interval = if others == 0 || self.lists < STARTUP_LISTS {
            STARTUP_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        };
        self.list_due = now.after(jittered(interval, rng));
        self.due = if self.is_written { self.list_due } else { now };
    }

    /// Delays the next request after a failure.
    fn back_off(&mut self, now: Timestamp, rng: &mut impl Rng) {
        let wait = BACKOFF_MIN.times(1 << self.failures.min(8));
        self.failures += 1;
        self.due = now.after(jittered(wait.min(self.backoff_max), rng));
    }
}
