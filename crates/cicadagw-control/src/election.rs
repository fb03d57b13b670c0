//! Election of roots: the leases of a node, each of which requires the one of the next narrower
//! scope. The lowest lease is that of the failure domain, the highest that of the fleet.

use cicadagw_platform::{Error, Key};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_wire::Member;

use crate::lease::{self, Change, Claim, Lease};
use crate::platform::{Call, Response};
use crate::{Identity, Scope};

/// Maximum delay before a new node reads the leases for the first time.
const FIRST_READ_DELAY_MAX: Span = Span::new(500);

/// The leases that a node competes for, from its failure domain up to the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    /// Whether the node is shutting down and must not claim leases any more.
    is_shutting_down: bool,
    /// Narrowest scope first.
    leases: [(Scope, Lease); 3],
    /// Delay between the start and the first read of the leases.
    first_read_delay: Span,
    /// Whether the first read has not been scheduled yet.
    needs_first_read: bool,
    /// Whether a request about a lease has succeeded or failed.
    has_read: bool,
}

/// The result of a step of the election.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) calls: Vec<Call>,
    pub(crate) changes: Vec<(Scope, Change)>,
}

impl Election {
    pub(crate) fn new(
        chart: &lease::Chart,
        identity: &Identity,
        term: u64,
        duration: Span,
    ) -> Self {
        let claim = Claim {
            domain: identity.domain.clone(),
            holder: identity.member.clone(),
            term,
        };
        let lease = |scope, key| {
            (
                scope,
                Lease::new(chart.clone(), scope, key, claim.clone(), duration),
            )
        };
        Self {
            first_read_delay: Span::new(term % FIRST_READ_DELAY_MAX.get()),
            is_shutting_down: false,
            needs_first_read: true,
            has_read: false,
            leases: [
                lease(Scope::Domain, Key::domain_lease(&identity.domain)),
                lease(Scope::Region, Key::region_lease(&identity.region)),
                lease(Scope::Fleet, Key::fleet_lease()),
            ],
        }
    }

    /// Releases every lease that is held, and stops competing for leases.
    pub(crate) fn shut_down(&mut self, now: Timestamp) -> Outcome {
        self.is_shutting_down = true;
        let mut outcome = Outcome::default();
        // Highest scope first: the node that acquires the lowest lease next then finds the others
        // free.
        for (scope, lease) in self.leases.iter_mut().rev() {
            outcome.add(*scope, lease.shut_down(now));
        }
        outcome
    }

    /// Makes the next tick read the lowest lease, since its holder may have released it; used when
    /// the parent is lost.
    pub(crate) fn read_now(&mut self, now: Timestamp) {
        let (_, lowest) = &mut self.leases[0];
        lowest.postpone(now);
    }

    /// Returns the scope of the highest lease held.
    pub(crate) fn scope(&self) -> Option<Scope> {
        let held = self.leases.iter().take_while(|(_, lease)| lease.is_held());
        held.last().map(|(scope, _)| *scope)
    }

    /// Returns whether the platform has recently confirmed that this node holds every lease and is
    /// thus the root of the fleet.
    pub(crate) fn is_confirmed(&self, now: Timestamp) -> bool {
        self.leases.iter().all(|(_, lease)| lease.is_confirmed(now))
    }

    /// Returns the holder of the lowest lease that this node does not hold: the root that should be
    /// an ancestor of this node.
    pub(crate) fn next_root(&self) -> Option<&Member> {
        let missing = self.leases.iter().find(|(_, lease)| !lease.is_held());
        missing.and_then(|(_, lease)| lease.other_holder())
    }

    /// Returns the chart state of every lease.
    pub(crate) fn states(&self) -> impl Iterator<Item = (Scope, lease::State)> {
        self.leases
            .iter()
            .map(|(scope, lease)| (*scope, lease.state()))
    }

    /// Advances the leases. The node competes for the lowest one while `wanted` is set or it holds
    /// that lease, and for each other one while it holds the next lower one.
    pub(crate) fn tick(&mut self, now: Timestamp, mut wanted: bool) -> Outcome {
        let mut outcome = Outcome::default();
        // An earlier process of this node may have held a lease that is still valid. Unless this
        // process reads and claims it, all other nodes wait for it to expire.
        wanted |= !self.has_read;
        wanted &= !self.is_shutting_down;
        if wanted && std::mem::take(&mut self.needs_first_read) {
            // A random delay keeps nodes that start together from claiming the same lease at the
            // same time.
            let (_, lowest) = &mut self.leases[0];
            lowest.postpone(now.after(self.first_read_delay));
        }
        for (scope, lease) in &mut self.leases {
            wanted |= *scope == Scope::Domain && lease.is_held();
            outcome.add(*scope, lease.tick(now, wanted));
            wanted = wanted && lease.is_held();
        }
        outcome
    }

    /// Processes the response to a request about the lease of `scope`.
    pub(crate) fn reply(
        &mut self,
        now: Timestamp,
        scope: Scope,
        response: Result<Response, Error>,
    ) -> Outcome {
        self.has_read = true;
        let mut outcome = Outcome::default();
        if self.is_shutting_down {
            // A read in flight must not lead to a claim any more.
            return outcome;
        }
        if let Some((_, lease)) = self.leases.iter_mut().find(|(held, _)| *held == scope) {
            outcome.add(scope, lease.reply(now, response));
        }
        outcome
    }
}

impl Outcome {
    /// Adds the result of a step of the lease of `scope`.
    fn add(&mut self, scope: Scope, outcome: lease::Outcome) {
        self.calls.extend(outcome.call);
        self.changes
            .extend(outcome.change.map(|change| (scope, change)));
    }
}
