//! Which nodes follow the configuration at the platform, and how news of it goes on from them.
//!
//! A few nodes of each region follow; the others learn of a new version from them. A call for each
//! node and change would cost the platform as many calls as there are nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;

use crate::{Member, Table};

/// How many nodes of a region follow: any two of them may be away together.
const FOLLOWERS: usize = 3;

/// How many nodes each node tells of a new version.
const FANOUT: usize = 3;

/// How often a follower says that it follows, for each node that it tells, up to the bounds below.
const BEACON_EACH: Span = Span::new(20);

/// The least time between two beacons.
const BEACON_MIN: Span = Span::new(800);

/// The longest time between two beacons.
const BEACON_MAX: Span = Span::seconds(10);

/// How long a node without configuration waits for others before it reads the configuration itself.
const ALONE: Span = Span::new(1_200);

/// What a node knows of the followers of its region.
#[derive(Clone, Debug)]
pub(crate) struct Followers {
    /// When each node last said that it follows.
    heard: BTreeMap<id::Node, Timestamp>,
    since: Timestamp,
}

impl Followers {
    pub(crate) const fn new(since: Timestamp) -> Self {
        Self {
            heard: BTreeMap::new(),
            since,
        }
    }

    /// Takes note of whether `node` says that it follows.
    pub(crate) fn hear(&mut self, now: Timestamp, node: &id::Node, follows: bool) {
        if follows {
            self.heard.insert(node.clone(), now);
        } else {
            self.heard.remove(node);
        }
    }

    /// Tells whether this node is to follow: fewer than enough of those that go before it are heard
    /// of, or nobody has brought a configuration.
    pub(crate) fn includes(
        &self,
        now: Timestamp,
        table: &Table,
        own: &Member,
        is_empty: bool,
    ) -> bool {
        let order = order(table, own);
        let place = place(&order, own);
        let age = now.since(self.since);
        if place < FOLLOWERS || (is_empty && age >= ALONE) {
            return true;
        }
        let patience = silence(order.len());
        if age < patience {
            return false;
        }
        let is_heard = |member: &&&Member| {
            let heard = self.heard.get(&member.node);
            heard.is_some_and(|heard| now.since(*heard) < patience)
        };
        order[..place].iter().filter(is_heard).count() < FOLLOWERS
    }
}

/// Returns how often a follower says so, among `count` nodes of its region.
pub(crate) fn beacon_period(count: usize) -> Span {
    let all = BEACON_EACH.times(count as u64);
    all.clamp(BEACON_MIN, BEACON_MAX)
}

/// Returns after which silence a follower counts as gone: two beacons may be lost.
fn silence(count: usize) -> Span {
    Span::new(beacon_period(count).get() * 5 / 2)
}

/// Returns where the nodes take messages that `own` tells of a new version.
pub(crate) fn children(table: &Table, own: &Member) -> SmallVec<[SocketAddr; FANOUT]> {
    let order = order(table, own);
    let first = place(&order, own) * FANOUT + 1;
    let children = order.into_iter().skip(first).take(FANOUT);
    children.map(|member| member.gossip).collect()
}

/// Returns the nodes of the region of `own` that stay, in the order in which they follow: one of each
/// failure domain first, so that the loss of one leaves the others.
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
