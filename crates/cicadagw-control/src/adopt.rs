//! Adoption of versions: a snapshot is held whole or not at all, and never an older one.

use std::collections::VecDeque;
use std::sync::Arc;

use cicadagw_chart::{Chart, names};
use cicadagw_config::{Snapshot, Stamp, check};
use cicadagw_unit::Version;

names! {
    /// Whether a node holds a snapshot.
    pub enum State {
        /// It holds none yet.
        Empty = "empty",
        /// It holds one.
        Holding = "holding",
    }
}
names! {
    /// What happens.
    pub enum Event {
        /// A snapshot is offered.
        Offered = "offered",
    }
}
names! {
    /// What may be true of an offered snapshot.
    pub enum Guard {
        /// Its version is not above the highest one held.
        Older = "older",
        /// Its content has another digest than it names.
        Broken = "broken",
        /// It refers to something that it does not have, or breaks another rule.
        Dangling = "dangling",
    }
}
names! {
    /// What is done with it.
    pub enum Action {
        /// It is held from now on.
        Adopt = "adopt",
        /// Nothing.
        Ignore = "ignore",
        /// It is refused, since it is not what it says.
        RefuseBroken = "refuse-broken",
        /// It is refused, since it cannot be in force.
        RefuseDangling = "refuse-dangling",
    }
}

/// The chart of adoption.
pub(crate) type Rules = Chart<State, Event, Guard, Action>;

/// How many earlier snapshots a node keeps, to make deltas for children that are a little behind.
const EARLIER_MAX: usize = 8;

/// What came of an offer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    Adopted,
    Ignored,
    Refused(String),
}

/// What a node holds.
#[derive(Clone, Debug)]
pub(crate) struct Holder {
    rules: Rules,
    state: State,
    held: Option<Arc<Snapshot>>,
    earlier: VecDeque<Arc<Snapshot>>,
    refused: Option<(Version, String)>,
    highest_seen: Version,
}

impl Holder {
    pub(crate) fn new(rules: Rules) -> Self {
        Self {
            state: rules.initial(),
            rules,
            held: None,
            earlier: VecDeque::new(),
            refused: None,
            highest_seen: Version::default(),
        }
    }

    /// Returns the snapshot held.
    pub(crate) fn held(&self) -> Option<&Arc<Snapshot>> {
        self.held.as_ref()
    }

    /// Returns the stamp of the snapshot held; the default one when there is none.
    pub(crate) fn stamp(&self) -> Stamp {
        self.held
            .as_ref()
            .map(|held| held.stamp)
            .unwrap_or_default()
    }

    /// Returns the newest version that this node has heard of.
    pub(crate) fn highest_seen(&self) -> Version {
        self.highest_seen.max(self.stamp().version)
    }

    /// Notes that a version exists somewhere.
    pub(crate) fn hear_of(&mut self, version: Version) {
        self.highest_seen = self.highest_seen.max(version);
    }

    /// Returns why the newest refused version was refused, while nothing newer is held.
    pub(crate) fn refusal(&self) -> Option<&(Version, String)> {
        let held = self.stamp().version;
        self.refused.as_ref().filter(|(version, _)| *version > held)
    }

    /// Returns the snapshot that `stamp` names, when it is held or was held a short while ago.
    pub(crate) fn find(&self, stamp: Stamp) -> Option<&Arc<Snapshot>> {
        self.held
            .iter()
            .chain(&self.earlier)
            .find(|snapshot| snapshot.stamp == stamp)
    }

    /// Decides on `snapshot`, which stands aside until it is adopted whole.
    pub(crate) fn offer(&mut self, snapshot: Snapshot) -> Verdict {
        let version = snapshot.stamp.version;
        let held = self.stamp().version;
        let faults = check(&snapshot.config, &snapshot.preset);
        self.hear_of(version);
        let step = self
            .rules
            .step(self.state, Event::Offered, |guard| match guard {
                Guard::Older => version <= held,
                Guard::Broken => !snapshot.is_intact(),
                Guard::Dangling => !faults.is_empty(),
            });
        self.state = step.to;
        match step.actions.first() {
            Some(Action::Adopt) => {
                self.adopt(snapshot);
                Verdict::Adopted
            }
            Some(Action::RefuseBroken) => {
                self.refuse(version, "its content has another digest".to_owned())
            }
            Some(Action::RefuseDangling) => {
                let reason = faults
                    .first()
                    .map(|fault| format!("{}: {}", fault.object, fault.message));
                self.refuse(version, reason.unwrap_or_default())
            }
            Some(Action::Ignore) | None => Verdict::Ignored,
        }
    }

    /// Notes that `version` cannot be had for `reason`.
    pub(crate) fn refuse(&mut self, version: Version, reason: String) -> Verdict {
        self.refused = Some((version, reason.clone()));
        Verdict::Refused(reason)
    }

    fn adopt(&mut self, snapshot: Snapshot) {
        if let Some(before) = self.held.replace(Arc::new(snapshot)) {
            self.earlier.push_front(before);
            self.earlier.truncate(EARLIER_MAX);
        }
    }
}
