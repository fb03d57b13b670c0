//! Selection of the nodes that watch the platform for configuration changes, and the tree that
//! passes new versions on from them.
//!
//! A few nodes of each region watch; the others learn of a new version from them. If every node
//! watched, each change would cost the platform as many requests as there are nodes.
//!
//! A watcher sends beacons to the nodes of its region. A beacon is a [`Message::Digest`] that says
//! that its sender watches; if the beacons cease, another node watches in its place.
//!
//! [`Message::Digest`]: crate::Message::Digest

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};
use smallvec::SmallVec;

use crate::{Member, Table};

/// How many nodes of a region watch the platform; three, so that any two may be unavailable at
/// once.
pub(crate) const WATCHERS_PER_REGION: usize = 3;

/// How many children a node has in the tree that passes new versions on.
const FANOUT: usize = 3;

/// How many nodes of a region ask the same relay for the age of the configuration. Up to
/// [`WATCHERS_PER_REGION`] times as many ask the watchers themselves.
const NODES_PER_RELAY: usize = 24;

/// How much the beacon interval grows with each receiver, so that a watcher in a larger region does
/// not send more beacons per second. The two bounds below apply.
const BEACON_INTERVAL_PER_NODE: Span = Span::new(20);

/// Lower bound of the beacon interval.
const BEACON_INTERVAL_MIN: Span = Span::new(800);

/// Upper bound of the beacon interval; a failed watcher is noticed after two and a half intervals.
const BEACON_INTERVAL_MAX: Span = Span::seconds(10);

/// How long a node without a configuration waits for its peers before it watches the platform
/// itself.
const NO_CONFIGURATION_WAIT: Span = Span::new(1_200);

/// How much longer each further node in the order waits. When all nodes start before there is a
/// configuration, only a few of them ask for it until it is there, and the others get it from them.
const NO_CONFIGURATION_WAIT_PER_NODE: Span = Span::new(200);

/// How long a node waits before it replaces a failed watcher: a watcher that lost its connection is
/// back sooner.
const TAKEOVER_DELAY: Span = Span::new(300);

/// How much longer each further node in the order waits, so that a region does not begin to watch as
/// a whole when one watcher fails.
const TAKEOVER_DELAY_PER_NODE: Span = Span::new(100);

/// How long a node that knows others may receive no message of any before it watches the platform
/// itself. At two digests per second and node, one of 400 nodes hears nothing for that long by
/// chance.
const MESSAGE_TIMEOUT: Span = Span::seconds(3);

/// The watchers of the region, as this node knows them from their beacons.
#[derive(Clone, Debug)]
pub(crate) struct Watchers {
    /// When the last beacon of each watcher arrived.
    last_beacon: BTreeMap<id::Node, Timestamp>,
    /// Since when too few nodes before this one in the order have sent beacons.
    lacking_since: Option<Timestamp>,
    /// When the last message of another node arrived; the start of this node before the first.
    last_message: Timestamp,
    /// When this node started.
    started: Timestamp,
    /// Whether the whole fleet starts for the first time.
    is_first_start: bool,
}

impl Watchers {
    pub(crate) const fn new(started: Timestamp, is_first_start: bool) -> Self {
        Self {
            last_beacon: BTreeMap::new(),
            lacking_since: None,
            last_message: started,
            started,
            is_first_start,
        }
    }

    /// Records that a message of another node has arrived.
    pub(crate) const fn record_message(&mut self, now: Timestamp) {
        self.last_message = now;
    }

    /// Records whether a digest of `node` says that it watches the platform.
    pub(crate) fn record(&mut self, now: Timestamp, node: &id::Node, is_watching: bool) {
        if is_watching {
            self.last_beacon.insert(node.clone(), now);
        } else {
            self.last_beacon.remove(node);
        }
    }

    /// Returns whether this node must watch: it is among the first [`WATCHERS_PER_REGION`] nodes in
    /// the order, or fewer than that many of the nodes before it have sent beacons for
    /// [`TAKEOVER_DELAY`] and its turn has come, or it has had no configuration for
    /// [`NO_CONFIGURATION_WAIT`] and its turn has come, or it has received no message for
    /// [`MESSAGE_TIMEOUT`].
    ///
    /// At the first start of the fleet, a node that knows no other one waits as well; after a
    /// restart, it does not, because it has calls to serve.
    pub(crate) fn must_watch(
        &mut self,
        now: Timestamp,
        table: &Table,
        own: &Member,
        has_no_configuration: bool,
    ) -> bool {
        let order = order(table, own);
        let position = position(&order, own);
        let uptime = now.since(self.started);
        if order.len() <= 1 && self.is_first_start && uptime < NO_CONFIGURATION_WAIT {
            return false;
        }
        let Some(turn) = position.checked_sub(WATCHERS_PER_REGION) else {
            return true;
        };
        let wait = NO_CONFIGURATION_WAIT_PER_NODE.times(turn as u64);
        if has_no_configuration && uptime >= NO_CONFIGURATION_WAIT.plus(wait) {
            return true;
        }
        if now.since(self.last_message) >= MESSAGE_TIMEOUT {
            return true;
        }
        if uptime < beacon_timeout(order.len()) {
            return false;
        }
        let is_alive = |member: &&&Member| self.is_watching(now, member, order.len());
        if order[..position].iter().filter(is_alive).count() >= WATCHERS_PER_REGION {
            self.lacking_since = None;
            return false;
        }
        let since = *self.lacking_since.get_or_insert(now);
        let delay = TAKEOVER_DELAY.plus(TAKEOVER_DELAY_PER_NODE.times(turn as u64));
        now.since(since) >= delay
    }
}

impl Watchers {
    /// Returns how many other nodes before `own` in the order send beacons.
    pub(crate) fn rank(&self, now: Timestamp, table: &Table, own: &Member) -> usize {
        let order = order(table, own);
        let before = order[..position(&order, own)].iter();
        before
            .filter(|member| self.is_watching(now, member, order.len()))
            .count()
    }

    /// Returns the gossip addresses of the nodes that `own` asks for the age of the configuration:
    /// the watchers of the region, or, in a large region, the first nodes in the order, which ask
    /// the watchers.
    pub(crate) fn sources(
        &self,
        now: Timestamp,
        table: &Table,
        own: &Member,
    ) -> SmallVec<[SocketAddr; WATCHERS_PER_REGION]> {
        let order = order(table, own);
        let relays = relays(order.len());
        let is_relayed = relays > 0 && position(&order, own) >= relays;
        let sources = order.iter().enumerate().filter(|(position, member)| {
            let is_source = if is_relayed {
                *position < relays
            } else {
                self.is_watching(now, member, order.len())
            };
            is_source && member.node != own.node
        });
        sources.map(|(_, member)| member.gossip).collect()
    }

    /// Returns whether `member`, in a region of `count` nodes, sends beacons.
    fn is_watching(&self, now: Timestamp, member: &Member, count: usize) -> bool {
        let last = self.last_beacon.get(&member.node);
        last.is_some_and(|last| now.since(*last) < beacon_timeout(count))
    }
}

/// Returns how many of the first nodes in the order are relays, in a region of `count` nodes.
const fn relays(count: usize) -> usize {
    let relays = count / NODES_PER_RELAY;
    if relays > WATCHERS_PER_REGION {
        relays
    } else {
        0
    }
}

/// Returns whether other nodes ask `own` for the age of the configuration instead of the watchers.
pub(crate) fn is_relay(table: &Table, own: &Member) -> bool {
    let order = order(table, own);
    position(&order, own) < relays(order.len())
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

/// Returns the turn of `own` among the nodes of all regions that watch: the first nodes of all regions
/// come first.
pub(crate) fn turn(table: &Table, own: &Member) -> usize {
    let regions: BTreeSet<&id::Region> = table.iter().map(|member| &member.region).collect();
    let region = regions.iter().position(|region| **region == own.region);
    position(&order(table, own), own) * regions.len() + region.unwrap_or_default()
}

/// Returns the gossip addresses of the children of `own` in the tree that passes new versions on.
pub(crate) fn children(table: &Table, own: &Member) -> SmallVec<[SocketAddr; FANOUT]> {
    let order = order(table, own);
    let first = position(&order, own) * FANOUT + 1;
    let children = order.into_iter().skip(first).take(FANOUT);
    children.map(|member| member.gossip).collect()
}

/// Returns the nodes of the region of `own` that are not leaving, in the order in which they become
/// watchers. The first nodes of all failure domains come first, then the second ones, and so on, so
/// that the loss of one domain leaves watchers in the others.
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
    ranked.sort_by(|(left_rank, left), (right_rank, right)| {
        (left_rank, &left.domain, &left.node).cmp(&(right_rank, &right.domain, &right.node))
    });
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the position of `own` in the order; the length of the order if it is leaving.
fn position(order: &[&Member], own: &Member) -> usize {
    let position = order.iter().position(|member| member.node == own.node);
    position.unwrap_or(order.len())
}
