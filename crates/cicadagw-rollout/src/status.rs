//! The status of an order.

use std::fmt;
use std::str::FromStr;

use cicadagw_unit::rate::Permille;
use cicadagw_unit::time::Span;
use cicadagw_unit::{Error, id};
use smallvec::SmallVec;

use crate::{Order, Phase};

/// How many earlier targets are remembered as unproven.
const UNPROVEN_MAX: usize = 4;

/// The status of an order, as its leader writes it to the platform.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// Grows with every write, so that a renewal of the leadership is a change as well.
    pub beat: u32,
    /// The duration of the order.
    pub duration: Span,
    /// The node that leads the rollout; `None` before one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<id::Node>,
    /// The phase.
    pub phase: Phase,
    /// The share of the calls that the target release gets.
    pub share: Permille,
    /// When the phase began, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// When a leader noticed the order, in milliseconds since the Unix epoch; 0 before one did.
    pub started_ms: u64,
    /// The target release.
    pub target: id::Release,
    /// The targets of earlier orders whose rollout was not done; they get no calls either.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub unproven: SmallVec<[id::Release; 1]>,
}

/// The state of a rollout as operators see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// The rollout goes on.
    Running,
    /// The target release gets all calls, and the others none.
    Done,
    /// The target release gets no calls.
    RolledBack,
}

impl Status {
    /// Returns the status of an order that no leader has taken up: its target gets no calls.
    pub fn noticed(order: &Order, earlier: Option<&Self>) -> Self {
        Self {
            beat: 0,
            duration: order.duration,
            leader: None,
            phase: Phase::Waiting,
            share: Permille::new(0),
            since_ms: 0,
            started_ms: 0,
            target: order.target.clone(),
            unproven: unproven(order, earlier),
        }
    }

    /// Returns whether this is a status of `order`, and not of an earlier one for the same service.
    pub fn belongs_to(&self, order: &Order) -> bool {
        self.target == order.target && self.duration == order.duration
    }

    /// Returns the state that operators see.
    pub const fn state(&self) -> State {
        match self.phase {
            Phase::Waiting | Phase::Observing | Phase::Raising | Phase::Closing => State::Running,
            Phase::Done => State::Done,
            Phase::RolledBack => State::RolledBack,
        }
    }

    /// Returns whether the rollout goes on.
    pub fn is_running(&self) -> bool {
        self.state() == State::Running
    }
}

/// Returns the targets that an order replaces before they were proven, the newest last.
fn unproven(order: &Order, earlier: Option<&Status>) -> SmallVec<[id::Release; 1]> {
    let Some(earlier) = earlier else {
        return SmallVec::new();
    };
    let is_unproven = earlier.state() != State::Done;
    let last = is_unproven.then_some(&earlier.target);
    let mut all: SmallVec<[id::Release; 1]> = earlier
        .unproven
        .iter()
        .chain(last)
        .filter(|release| **release != order.target)
        .cloned()
        .collect();
    while all.len() > UNPROVEN_MAX {
        all.remove(0);
    }
    all
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::RolledBack => "rolled_back",
        })
    }
}

impl FromStr for State {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "running" => Ok(Self::Running),
            "done" => Ok(Self::Done),
            "rolled_back" => Ok(Self::RolledBack),
            _ => Err(Error::new(
                "rollout state",
                text,
                "`running`, `done` or `rolled_back`",
            )),
        }
    }
}
