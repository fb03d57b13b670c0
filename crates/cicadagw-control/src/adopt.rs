//! Adoption of snapshots: a node has a whole, valid snapshot or none, and never replaces it by an
//! older one. To adopt a snapshot is to make it the current one, by which calls are routed.

use std::collections::VecDeque;
use std::sync::Arc;

use cicadagw_chart::names;
use cicadagw_config::{Snapshot, Stamp, check};
use cicadagw_unit::Version;

names! {
    /// Whether the node has a current snapshot.
    pub enum State {
        /// There is no current snapshot yet.
        Empty = "empty",
        /// There is a current snapshot.
        Holding = "holding",
    }
}
names! {
    /// An event of the chart.
    pub enum Event {
        /// A snapshot was received from the parent or fetched from the platform.
        Offered = "offered",
    }
}
names! {
    /// A condition on the snapshot offered.
    pub enum Guard {
        /// Its version is not above that of the current snapshot.
        NotNewer = "not-newer",
        /// Its content does not match the digest in its stamp.
        DigestMismatch = "digest-mismatch",
        /// It fails the checks of its configuration, for example by a reference to an object that
        /// it does not declare.
        Invalid = "invalid",
    }
}
names! {
    /// What is done with the snapshot offered.
    pub enum Action {
        /// Make it the current snapshot.
        Adopt = "adopt",
        /// Drop it.
        Ignore = "ignore",
        /// Refuse it, since its content does not match its digest.
        RefuseDigestMismatch = "refuse-digest-mismatch",
        /// Refuse it, since its configuration is invalid.
        RefuseInvalid = "refuse-invalid",
    }
}

/// The chart of [`Snapshots`].
pub(crate) type Chart = cicadagw_chart::Chart<State, Event, Guard, Action>;

/// How many previous snapshots are kept, to compute deltas for children that are a few versions
/// behind.
const PREVIOUS_MAX: usize = 8;

/// The result of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// It is the current snapshot now.
    Adopted,
    /// It is not newer than the current snapshot, and was dropped.
    Ignored,
    /// It is not usable, for this reason.
    Refused(String),
}

/// The current snapshot of a node, a few previous ones, and the last refusal.
#[derive(Clone, Debug)]
pub(crate) struct Snapshots {
    chart: Chart,
    state: State,
    /// The current snapshot.
    held: Option<Arc<Snapshot>>,
    /// The previous snapshots, the latest first.
    previous: VecDeque<Arc<Snapshot>>,
    /// The last version refused, and the reason.
    refused: Option<(Version, String)>,
    highest_seen: Version,
}

impl Snapshots {
    pub(crate) fn new(chart: Chart) -> Self {
        Self {
            state: chart.initial(),
            chart,
            held: None,
            previous: VecDeque::new(),
            refused: None,
            highest_seen: Version::default(),
        }
    }

    /// Returns the current snapshot.
    pub(crate) fn held(&self) -> Option<&Arc<Snapshot>> {
        self.held.as_ref()
    }

    /// Returns the stamp of the current snapshot; the default stamp without one.
    pub(crate) fn stamp(&self) -> Stamp {
        self.held
            .as_ref()
            .map(|held| held.stamp)
            .unwrap_or_default()
    }

    /// Returns the highest version known to exist, whether this node has its snapshot or not.
    pub(crate) fn highest_seen(&self) -> Version {
        self.highest_seen.max(self.stamp().version)
    }

    /// Records that a version exists, whether this node has its snapshot or not.
    pub(crate) fn observe_version(&mut self, version: Version) {
        self.highest_seen = self.highest_seen.max(version);
    }

    /// Returns the last version refused and the reason, unless the current version is at least as
    /// high.
    pub(crate) fn refusal(&self) -> Option<&(Version, String)> {
        let held = self.stamp().version;
        self.refused.as_ref().filter(|(version, _)| *version > held)
    }

    /// Returns the snapshot with this stamp if it is the current one or one of the previous ones.
    pub(crate) fn find(&self, stamp: Stamp) -> Option<&Arc<Snapshot>> {
        self.held
            .iter()
            .chain(&self.previous)
            .find(|snapshot| snapshot.stamp == stamp)
    }

    /// Decides on a complete snapshot that was received; the current one stays in use unless it is
    /// adopted.
    pub(crate) fn offer(&mut self, snapshot: Snapshot) -> Verdict {
        let version = snapshot.stamp.version;
        let held = self.stamp().version;
        let faults = check(&snapshot.config, &snapshot.preset);
        self.observe_version(version);
        let step = self
            .chart
            .step(self.state, Event::Offered, |guard| match guard {
                Guard::NotNewer => version <= held,
                Guard::DigestMismatch => !snapshot.is_intact(),
                Guard::Invalid => !faults.is_empty(),
            });
        self.state = step.to;
        match step.actions.first() {
            Some(Action::Adopt) => {
                self.adopt(snapshot);
                Verdict::Adopted
            }
            Some(Action::RefuseDigestMismatch) => {
                self.refuse(version, "the content does not match the digest".to_owned())
            }
            Some(Action::RefuseInvalid) => {
                let reason = faults
                    .first()
                    .map(|fault| format!("{}: {}", fault.object, fault.message));
                self.refuse(version, reason.unwrap_or_default())
            }
            Some(Action::Ignore) | None => Verdict::Ignored,
        }
    }

    /// Records that `version` could not be obtained or adopted, for `reason`.
    pub(crate) fn refuse(&mut self, version: Version, reason: String) -> Verdict {
        self.refused = Some((version, reason.clone()));
        Verdict::Refused(reason)
    }

    /// Makes `snapshot` the current one, and keeps the one that it replaces for deltas.
    fn adopt(&mut self, snapshot: Snapshot) {
        if let Some(replaced) = self.held.replace(Arc::new(snapshot)) {
            self.previous.push_front(replaced);
            self.previous.truncate(PREVIOUS_MAX);
        }
    }
}
