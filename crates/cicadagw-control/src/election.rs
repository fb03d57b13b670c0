//! The leases that a node may hold, each of which needs the one before it.

use cicadagw_platform::{Error, Key};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::Member;

use crate::lease::{self, Change, Claim, Lease};
use crate::platform::{Call, Response};
use crate::{Identity, Rank};

/// The longest wait before a new node looks at the leases.
const FIRST_LOOK_MAX: Span = Span::new(500);

/// The leases of a node, from its failure domain up to the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    /// Whether the node stops.
    has_left: bool,
    leases: [(Rank, Lease); 3],
    /// When the first look is taken after the start.
    phase: Span,
    is_new: bool,
    /// Whether the platform has answered the first look at the lowest lease, or failed to.
    has_looked: bool,
}

/// What a step of the election leads to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) calls: Vec<Call>,
    pub(crate) changes: Vec<(Rank, Change)>,
}

impl Election {
    pub(crate) fn new(
        rules: &lease::Rules,
        identity: &Identity,
        term: u64,
        duration: Span,
    ) -> Self {
        let claim = Claim {
            domain: identity.domain.clone(),
            holder: identity.member.clone(),
            term,
        };
        let lease = |rank, key| {
            (
                rank,
                Lease::new(rules.clone(), rank, key, claim.clone(), duration),
            )
        };
        Self {
            phase: Span::new(term % FIRST_LOOK_MAX.get()),
            has_left: false,
            is_new: true,
            has_looked: false,
            leases: [
                lease(Rank::Domain, Key::domain_lease(&identity.domain)),
                lease(Rank::Region, Key::region_lease(&identity.region)),
                lease(Rank::Fleet, Key::fleet_lease()),
            ],
        }
    }

    /// Gives back every lease that is held, and never wants one again.
    pub(crate) fn leave(&mut self, now: Timestamp) -> Outcome {
        self.has_left = true;
        let mut outcome = Outcome::default();
        // The highest first: whoever follows on the lowest rank finds the others free.
        for (rank, lease) in self.leases.iter_mut().rev() {
            outcome.add(*rank, lease.leave(now));
        }
        outcome
    }

    /// Has the next tick look at the lowest lease: its holder may have given it back.
    pub(crate) fn look_at_once(&mut self, now: Timestamp) {
        let (_, lowest) = &mut self.leases[0];
        lowest.put_off(now);
    }

    /// Returns the highest lease held.
    pub(crate) fn rank(&self) -> Option<Rank> {
        let held = self.leases.iter().take_while(|(_, lease)| lease.is_held());
        held.last().map(|(rank, _)| *rank)
    }

    /// Tells whether the platform said of late that this node is the root of the fleet.
    pub(crate) fn is_fresh(&self, now: Timestamp) -> bool {
        self.leases.iter().all(|(_, lease)| lease.is_fresh(now))
    }

    /// Returns the holder of the lowest lease that this node does not hold.
    pub(crate) fn superior(&self) -> Option<&Member> {
        let missing = self.leases.iter().find(|(_, lease)| !lease.is_held());
        missing.and_then(|(_, lease)| lease.other())
    }

    /// Returns where the node stands with every lease.
    pub(crate) fn states(&self) -> impl Iterator<Item = (Rank, lease::State)> {
        self.leases
            .iter()
            .map(|(rank, lease)| (*rank, lease.state()))
    }

    /// Looks at every lease that is wanted; the lowest one is while `wanted`.
    pub(crate) fn tick(&mut self, now: Timestamp, mut wanted: bool) -> Outcome {
        let mut outcome = Outcome::default();
        // The lease may still stand from an earlier life of this node, and then all wait for it.
        wanted |= !self.has_looked;
        wanted &= !self.has_left;
        if wanted && std::mem::take(&mut self.is_new) {
            // Nodes that were started together do not all claim the same lease.
            let (_, lowest) = &mut self.leases[0];
            lowest.put_off(now.after(self.phase));
        }
        for (rank, lease) in &mut self.leases {
            wanted |= *rank == Rank::Domain && lease.is_held();
            outcome.add(*rank, lease.tick(now, wanted));
            wanted = wanted && lease.is_held();
        }
        outcome
    }

    /// Takes the answer to a call about the lease of `rank`.
    pub(crate) fn reply(
        &mut self,
        now: Timestamp,
        rank: Rank,
        answer: Result<Response, Error>,
    ) -> Outcome {
        self.has_looked = true;
        let mut outcome = Outcome::default();
        if self.has_left {
            // A read under way must not lead to a claim.
            return outcome;
        }
        if let Some((_, lease)) = self.leases.iter_mut().find(|(held, _)| *held == rank) {
            outcome.add(rank, lease.reply(now, answer));
        }
        outcome
    }
}

impl Outcome {
    fn add(&mut self, rank: Rank, outcome: lease::Outcome) {
        self.calls.extend(outcome.call);
        self.changes
            .extend(outcome.change.map(|change| (rank, change)));
    }
}
