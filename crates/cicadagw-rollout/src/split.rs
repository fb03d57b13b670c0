//! The choice between the releases of a service for one call.

use std::collections::BTreeSet;
use std::sync::Arc;

use cicadagw_endpoint::Record;
use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;
use rand::{Rng, RngExt};

use crate::{Directive, Group};

/// One of how many calls to the target release goes to any of its backend servers; the others go to
/// those that are tested under the load that they have when the release gets all calls.
const SPREAD_ONE_IN: u32 = 8;

/// The least number of backend servers that test the target release, so that a fault of one of them
/// can be told from one of the release.
const TESTED_MIN: usize = 2;

/// How the calls to a service are split between its releases; without a rollout, not at all.
#[derive(Clone, Debug, Default)]
pub struct Split {
    directive: Option<Arc<Directive>>,
    /// The backend servers that test the target release.
    tested: BTreeSet<id::Endpoint>,
    has_base: bool,
    has_target: bool,
}

/// The choice for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Draw {
    /// Any backend server that the rollout does not exclude.
    Any,
    /// A backend server of this group.
    Of(Group),
    /// A backend server that tests the target release.
    Tested,
}

impl Split {
    /// Creates the split of the calls to the backend servers of `records`.
    pub fn new<'r>(
        directive: Option<Arc<Directive>>,
        mut records: impl Clone + Iterator<Item = &'r Record>,
    ) -> Self {
        let Some(current) = directive.as_deref() else {
            return Self::default();
        };
        let group = |record: &Record| current.group(record);
        let mut targets: Vec<&Record> = records
            .clone()
            .filter(|record| group(record) == Group::Target)
            .collect();
        let share = current
            .status
            .as_ref()
            .map_or(0, |status| status.share.get());
        // The order is the same on all nodes and has nothing to do with the locations.
        targets.sort_by_key(|record| rank(&record.endpoint));
        let count = (targets.len() * usize::from(share)).div_ceil(1_000);
        let tested = targets.iter().take(count.max(TESTED_MIN));
        Self {
            tested: tested.map(|record| record.endpoint.clone()).collect(),
            has_base: records.any(|record| group(record) == Group::Base),
            has_target: !targets.is_empty(),
            directive,
        }
    }

    /// Draws the part of the backend servers for an attempt. One that follows a failed attempt goes
    /// to the other releases, as long as these get calls at all.
    pub fn draw(&self, rng: &mut impl Rng, is_retry: bool) -> Draw {
        let running = self
            .directive
            .as_ref()
            .filter(|current| current.is_running());
        let Some(status) = running.and_then(|current| current.status.as_ref()) else {
            return Draw::Any;
        };
        if !self.has_target {
            return Draw::Of(Group::Base);
        }
        if !self.has_base || status.share >= Permille::WHOLE {
            return Draw::Of(Group::Target);
        }
        if is_retry || rng.random_range(0..Permille::WHOLE.get()) >= status.share.get() {
            return Draw::Of(Group::Base);
        }
        if rng.random_range(0..SPREAD_ONE_IN) == 0 {
            Draw::Of(Group::Target)
        } else {
            Draw::Tested
        }
    }

    /// Returns the part that takes the place of the drawn one if none of its backend servers accepts
    /// the call.
    pub fn instead_of(&self, draw: Draw) -> Option<Draw> {
        match draw {
            Draw::Tested => Some(Draw::Of(Group::Base)),
            Draw::Of(Group::Target) if self.has_base && !self.is_whole() => {
                Some(Draw::Of(Group::Base))
            }
            Draw::Of(_) | Draw::Any => None,
        }
    }

    /// Returns whether the target gets all calls.
    fn is_whole(&self) -> bool {
        let status = self
            .directive
            .as_ref()
            .and_then(|current| current.status.as_ref());
        status.is_some_and(|status| status.share >= Permille::WHOLE)
    }

    /// Returns whether the backend server of `record` belongs to the part that was drawn.
    pub fn admits(&self, draw: Draw, record: &Record) -> bool {
        let Some(directive) = &self.directive else {
            return true;
        };
        let group = directive.group(record);
        match draw {
            // A service without any other backend server is still served.
            Draw::Any => group != Group::Excluded || !self.has_base,
            Draw::Of(drawn) => group == drawn,
            Draw::Tested => group == Group::Target && self.tested.contains(&record.endpoint),
        }
    }
}

/// Returns a hash of an endpoint id that is the same in every build: FNV-1a.
fn rank(endpoint: &id::Endpoint) -> u64 {
    endpoint
        .as_str()
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
}
