//! Selection of the nodes that watch the platform for configuration changes, and the tree that
//! passes new versions on from them.
//!
//! A few nodes of each region watch; the others learn of a new version from them. If every node
//! watched, each change would cost the platform as many calls as there are nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;

use crate::{Member, Table};

/// How many nodes of a region watch the platform; three, so that any two may be unavailable at
/// once.
const WATCHERS_PER_REGION: usize = 3;

/// How many peers each node sends a new version to.
const FANOUT: usize = 3;

/// Beacon interval per node that the beacon is sent to, within the bounds below.
const BEACON_INTERVAL_PER_NODE: Span = Span::new(20);

/// Minimum time between two beacons.
const BEACON_INTERVAL_MIN: Span = Span::new(800);

/// Maximum time between two beacons.
const BEACON_INTERVAL_MAX: Span = Span::seconds(10);

/// How long a node without a configuration waits for its peers before it watches the platform
/// itself.
const EMPTY_WAIT: Span = Span::new(1_200);

/// The watchers of the region, as this node knows them from their beacons.
#[derive(Clone, Debug)]
pub(crate) struct Watchers {
    /// When each watcher last sent a digest that says that it watches.
    last_beacon: BTreeMap<id::Node, Timestamp>,
    started: Timestamp,
}

impl Watchers {
    pub(crate) const fn new(started: Timestamp) -> Self {
        Self {
            last_beacon: BTreeMap::new(),
            started,
        }
    }

    /// Records whether `node` says that it watches the platform.
    pub(crate) fn record(&mut self, now: Timestamp, node: &id::Node, follows: bool) {
        if follows {
            self.last_beacon.insert(node.clone(), now);
        } else {
            self.last_beacon.remove(node);
        }
    }

    /// Returns whether this node must watch: it is among the first of the order, or too few of the
    /// nodes before it send beacons, or it has had no configuration for too long.
    pub(crate) fn includes(
        &self,
        now: Timestamp,
        table: &Table,
        own: &Member,
        is_empty: bool,
    ) -> bool {
        let order = order(table, own);
        let place = place(&order, own);
        let age = now.since(self.started);
        if place < WATCHERS_PER_REGION || (is_empty && age >= EMPTY_WAIT) {
            return true;
        }
        let timeout = beacon_timeout(order.len());
        if age < timeout {
            return false;
        }
        let is_alive = |member: &&&Member| {
            let last = self.last_beacon.get(&member.node);
            last.is_some_and(|last| now.since(*last) < timeout)
        };
        order[..place].iter().filter(is_alive).count() < WATCHERS_PER_REGION
    }
}

/// Returns the interval between two beacons of a watcher that sends them to `count` nodes.
pub(crate) fn beacon_interval(count: usize) -> Span {
    let interval = BEACON_INTERVAL_PER_NODE.times(count as u64);
    interval.clamp(BEACON_INTERVAL_MIN, BEACON_INTERVAL_MAX)
}

/// Returns the time without a beacon after which a watcher counts as failed: two beacons may be
/// lost.
fn beacon_timeout(count: usize) -> Span {
    Span::new(beacon_interval(count).get() * 5 / 2)
}

/// Returns the gossip addresses of the children of `own` in the tree that passes new versions on.
pub(crate) fn children(table: &Table, own: &Member) -> SmallVec<[SocketAddr; FANOUT]> {
    let order = order(table, own);
    let first = place(&order, own) * FANOUT + 1;
    let children = order.into_iter().skip(first).take(FANOUT);
    children.map(|member| member.gossip).collect()
}

/// Returns the nodes of the region of `own` that are not leaving, in the order of precedence as
/// watchers. The order alternates between failure domains, so that the loss of one domain leaves
/// watchers in the others.
fn order<'t>(table: &'t Table, own: &Member) -> Vec<&'t Member> {
    let mut counts: BTreeMap<&id::Domain, usize> = BTreeMap::new();
    let mut ranked: Vec<_> = table
        .iter()
        .filter(|member| member.region == own.region && !member.is_leaving)
        .map(|member| {
            let rank = counts.entry(&member.domain).or_default();
            *rank += 1;
            (*rank, member)
        })
        .collect();
    ranked.sort_by(|(left, one), (right, other)| {
        (left, &one.domain, &one.node).cmp(&(right, &other.domain, &other.node))
    });
    ranked.into_iter().map(|(_, member)| member).collect()
}

fn place(order: &[&Member], own: &Member) -> usize {
    let place = order.iter().position(|member| member.node == own.node);
    place.unwrap_or(order.len())
}
