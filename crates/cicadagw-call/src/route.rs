//! Which route a call takes.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cicadagw_config::{Cluster, Policy, Route, Secret, Snapshot};
use cicadagw_unit::{Version, id};
use compact_str::CompactString;
use smallvec::SmallVec;

/// For how many versions a cluster that was taken away is remembered, for calls that were routed
/// before.
const REMEMBERED: u64 = 16;

/// The routes of one snapshot, arranged so that a match costs as many look-ups as the path has
/// segments, however many routes there are.
#[derive(Debug, Default)]
pub struct Index {
    any_host: Prefixes,
    hosts: HashMap<CompactString, Prefixes>,
    longest_prefix: usize,
    targets: HashMap<(id::Cluster, id::Policy), Arc<Target>>,
    /// All declared clusters, and those that were declared until lately.
    clusters: BTreeMap<id::Cluster, Known>,
    /// All declared policies, as the preset in force changes them.
    policies: BTreeMap<id::Policy, Policy>,
}

/// A cluster and what is presented to its backend servers.
#[derive(Clone, Debug)]
struct Known {
    cluster: Cluster,
    secret: Option<Secret>,
    /// The newest version that declares it.
    version: Version,
}

/// Routes by prefix; those of one prefix stand in the order in which they are tried.
type Prefixes = HashMap<CompactString, Vec<Entry>>;

/// One route.
#[derive(Debug)]
struct Entry {
    name: id::Route,
    route: Route,
    /// Where the calls go, and the sum of the weights up to each.
    targets: SmallVec<[(u64, Arc<Target>); 1]>,
    /// Where the next call falls within the whole, in parts of 2^64; none before the first call.
    turn: Cell<Option<u64>>,
}

/// By how much the turn of a split moves on with each call: the golden ratio, in parts of 2^64, by
/// which any number of calls in a row is spread evenly.
const TURN: u64 = 0x9E37_79B9_7F4A_7C15;

/// Where the calls of a route go, and how they are treated.
#[derive(Debug)]
pub struct Target {
    /// The name of the cluster.
    pub name: id::Cluster,
    /// The cluster.
    pub cluster: Cluster,
    /// The name of the policy.
    pub policy_name: id::Policy,
    /// The policy, as the preset in force changes it.
    pub policy: Policy,
    /// What is presented to the backend servers.
    pub secret: Option<Secret>,
}

/// What of a request a route is chosen by, besides its headers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLine<'r> {
    /// The host that the call is for, in lower case and without port.
    pub host: &'r str,
    /// The method.
    pub method: &'r str,
    /// The path, without the query.
    pub path: &'r str,
}

impl Index {
    /// Arranges the routes of `snapshot`.
    pub fn new(snapshot: &Snapshot) -> Self {
        Self::with_previous(&Self::default(), snapshot)
    }

    /// Arranges the routes of `snapshot`, which takes the place of that of `earlier`.
    ///
    /// Clusters that `snapshot` takes away stay known for a while, with their secrets, since calls
    /// of other nodes may still be routed to them.
    pub fn with_previous(earlier: &Self, snapshot: &Snapshot) -> Self {
        let config = &snapshot.config;
        let mut index = Self {
            clusters: remembered(earlier, snapshot.stamp.version),
            ..Self::default()
        };
        for (name, cluster) in &config.clusters {
            index.declare(snapshot, name, cluster);
        }
        for name in config.policies.keys() {
            let policy = config.policy(name, &snapshot.preset);
            index
                .policies
                .extend(policy.map(|policy| (name.clone(), policy)));
        }
        for (name, route) in &config.routes {
            let targets = index.targets(route);
            if !targets.is_empty() {
                index.insert(name, route, targets);
            }
        }
        index
    }

    /// Returns the target for a call: longest prefix first, then most conditions, then first name.
    ///
    /// `has_header` tells whether the request has a header with a value. Where a route is split, its
    /// calls go to its parts in turn, by their weights; `draw` is a random number at which they begin.
    pub fn find(
        &self,
        line: RequestLine<'_>,
        has_header: impl Fn(&str, &str) -> bool,
        draw: u64,
    ) -> Option<&Arc<Target>> {
        let own = self.hosts.get(line.host);
        let path = line.path;
        let accepts = |entry: &&Entry| entry.accepts(line.method, &has_header);
        ends(path, self.longest_prefix)
            .filter_map(|end| path.get(..end))
            .find_map(|prefix| {
                let for_host = own.and_then(|own| own.get(prefix)?.iter().find(accepts));
                let for_any = self
                    .any_host
                    .get(prefix)
                    .and_then(|any| any.iter().find(accepts));
                better(for_host, for_any)
            })
            .and_then(|entry| entry.pick(draw))
    }

    /// Returns the target of a call that another node has routed with a snapshot of its own, which
    /// may be older or newer; `None` when no cluster for `service` is known.
    ///
    /// A cluster that is declared goes before one that was.
    pub fn resolve(
        &self,
        cluster: &id::Cluster,
        policy: &id::Policy,
        service: &id::Service,
    ) -> Option<Arc<Target>> {
        let exact = self.targets.get(&(cluster.clone(), policy.clone()));
        if let Some(exact) = exact.filter(|target| target.cluster.service == *service) {
            return Some(exact.clone());
        }
        let (name, known) = self.known(cluster, service)?;
        Some(Arc::new(Target {
            name: name.clone(),
            cluster: known.cluster.clone(),
            policy_name: policy.clone(),
            policy: self.policy(policy, name),
            secret: known.secret.clone(),
        }))
    }

    /// Returns the cluster that stands for `wanted`: itself, else the first one for `service`.
    fn known(&self, wanted: &id::Cluster, service: &id::Service) -> Option<(&id::Cluster, &Known)> {
        let fits = self.clusters.iter();
        let fits = fits.filter(|(_, known)| known.cluster.service == *service);
        fits.min_by_key(|(name, known)| (std::cmp::Reverse(known.version), *name != wanted, *name))
    }

    /// Returns the policy `wanted`, else the one by which `cluster` is routed first, else the
    /// defaults.
    fn policy(&self, wanted: &id::Policy, cluster: &id::Cluster) -> Policy {
        let of_cluster = || {
            let names = self.targets.keys();
            let names = names.filter(|(name, _)| name == cluster);
            names.map(|(_, policy)| policy).min()
        };
        let declared = self.policies.get(wanted);
        let declared = declared.or_else(|| self.policies.get(of_cluster()?));
        declared.map_or_else(|| Policy::builder().build(), Policy::clone)
    }

    fn declare(&mut self, snapshot: &Snapshot, name: &id::Cluster, cluster: &Cluster) {
        let secret = cluster.secret.as_ref();
        let known = Known {
            cluster: cluster.clone(),
            secret: secret.and_then(|name| snapshot.config.secrets.get(name).cloned()),
            version: snapshot.stamp.version,
        };
        self.clusters.insert(name.clone(), known);
    }

    fn target(&mut self, cluster: &id::Cluster, policy: &id::Policy) -> Option<Arc<Target>> {
        let key = (cluster.clone(), policy.clone());
        if let Some(target) = self.targets.get(&key) {
            return Some(target.clone());
        }
        let known = self.clusters.get(cluster)?;
        let target = Arc::new(Target {
            name: cluster.clone(),
            cluster: known.cluster.clone(),
            policy_name: policy.clone(),
            policy: self.policies.get(policy)?.clone(),
            secret: known.secret.clone(),
        });
        self.targets.insert(key, target.clone());
        Some(target)
    }

    /// Returns the targets of `route`, each with the sum of the weights up to it.
    fn targets(&mut self, route: &Route) -> SmallVec<[(u64, Arc<Target>); 1]> {
        if route.split.is_empty() {
            let target = self.target(&route.cluster, &route.policy);
            return target.into_iter().map(|target| (1, target)).collect();
        }
        let mut sum = 0;
        let mut targets = SmallVec::new();
        for part in route.split.iter().filter(|part| part.weight.get() > 0) {
            if let Some(target) = self.target(&part.cluster, &route.policy) {
                sum += u64::from(part.weight.get());
                targets.push((sum, target));
            }
        }
        targets
    }

    fn insert(
        &mut self,
        name: &id::Route,
        route: &Route,
        targets: SmallVec<[(u64, Arc<Target>); 1]>,
    ) {
        let prefixes = match &route.host {
            Some(host) => self.hosts.entry(lower(host)).or_default(),
            None => &mut self.any_host,
        };
        let entries = prefixes.entry(route.prefix.clone()).or_default();
        entries.push(Entry {
            name: name.clone(),
            route: route.clone(),
            targets,
            turn: Cell::new(None),
        });
        entries.sort_by(|left, right| left.rank().cmp(&right.rank()));
        self.longest_prefix = self.longest_prefix.max(route.prefix.len());
    }
}

/// Returns the clusters of `earlier` that calls under `version` may still be routed to.
fn remembered(earlier: &Index, version: Version) -> BTreeMap<id::Cluster, Known> {
    let is_late = |known: &Known| version.get().saturating_sub(known.version.get()) <= REMEMBERED;
    let clusters = earlier.clusters.iter();
    let clusters = clusters.filter(|(_, known)| is_late(known));
    clusters
        .map(|(name, known)| (name.clone(), known.clone()))
        .collect()
}

impl Entry {
    /// Returns the part whose turn it is; the first turn is at `draw`.
    fn pick(&self, draw: u64) -> Option<&Arc<Target>> {
        let (sum, _) = self.targets.last()?;
        let turn = self.turn.get().unwrap_or(draw);
        self.turn.set(Some(turn.wrapping_add(TURN)));
        let point = (u128::from(turn) * u128::from(*sum)) >> 64;
        let picked = self
            .targets
            .iter()
            .find(|(below, _)| point < u128::from(*below));
        picked.map(|(_, target)| target)
    }

    /// Orders entries of one prefix: most conditions first, then by name.
    fn rank(&self) -> (std::cmp::Reverse<usize>, &id::Route) {
        let Route {
            header,
            host,
            method,
            ..
        } = &self.route;
        let conditions = usize::from(header.is_some())
            + usize::from(host.is_some())
            + usize::from(method.is_some());
        (std::cmp::Reverse(conditions), &self.name)
    }

    fn accepts(&self, method: &str, has_header: impl Fn(&str, &str) -> bool) -> bool {
        let wanted = self.route.method.as_deref();
        let header = self.route.header.as_ref();
        wanted.is_none_or(|wanted| wanted == method)
            && header.is_none_or(|header| has_header(&header.name, &header.value))
    }
}

/// Returns the lengths of what may be a prefix of `path`, longest first: each ends at a `/`, before
/// one, or at the end of the path.
fn ends(path: &str, longest: usize) -> impl Iterator<Item = usize> + '_ {
    let bytes = path.as_bytes();
    (1..=bytes.len().min(longest))
        .rev()
        .filter(move |&end| end == bytes.len() || bytes[end] == b'/' || bytes[end - 1] == b'/')
}

fn better<'a>(left: Option<&'a Entry>, right: Option<&'a Entry>) -> Option<&'a Entry> {
    match (left, right) {
        (Some(left), Some(right)) => Some(if left.rank() <= right.rank() {
            left
        } else {
            right
        }),
        (left, right) => left.or(right),
    }
}

fn lower(host: &str) -> CompactString {
    host.to_ascii_lowercase().into()
}
