//! Routing: the choice of the cluster and the policy for a call.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cicadagw_config::{Cluster, Policy, Route, Secret, Snapshot};
use cicadagw_unit::{Version, id};
use compact_str::CompactString;
use smallvec::SmallVec;

use crate::Access;

/// For how many versions a deleted cluster is kept, for calls that were routed to it before.
const DELETED_CLUSTER_VERSIONS: u64 = 16;

/// The routes of one snapshot, indexed by host and prefix. A match takes as many look-ups as the
/// path has segments, regardless of the number of routes.
#[derive(Debug, Default)]
pub struct Index {
    /// The client accounts.
    access: Access,
    /// The routes without a host.
    any_host: Prefixes,
    /// The routes with a host, by that host in lower case.
    hosts: HashMap<CompactString, Prefixes>,
    /// The length of the longest prefix of a route, in bytes.
    longest_prefix: usize,
    /// The targets of the routes.
    targets: HashMap<(id::Cluster, id::Policy), Arc<Target>>,
    /// The declared clusters, and those deleted within the last [`DELETED_CLUSTER_VERSIONS`].
    clusters: BTreeMap<id::Cluster, KnownCluster>,
    /// The declared policies with the overrides of the preset in force.
    policies: BTreeMap<id::Policy, Policy>,
}

/// A cluster and the secret presented to its backend servers.
#[derive(Clone, Debug)]
struct KnownCluster {
    cluster: Cluster,
    secret: Option<Secret>,
    /// The newest version that declares the cluster.
    version: Version,
}

/// Routes by prefix; the routes of one prefix are in the order in which they are tried.
type Prefixes = HashMap<CompactString, Vec<Entry>>;

/// An indexed route.
#[derive(Debug)]
struct Entry {
    name: id::Route,
    route: Route,
    /// The targets, each with the sum of the weights up to and including it.
    targets: SmallVec<[(u64, Arc<Target>); 1]>,
    /// The position of the next call within the total weight, as a fraction of 2^64; `None` before
    /// the first call.
    position: Cell<Option<u64>>,
}

/// How far the position in a split advances with each call: the golden ratio as a fraction of 2^64,
/// which distributes any run of consecutive calls evenly.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;

/// The cluster that the calls of a route go to, and the policy that applies to them.
#[derive(Debug)]
pub struct Target {
    /// The name of the cluster.
    pub name: id::Cluster,
    /// The cluster.
    pub cluster: Cluster,
    /// The name of the policy.
    pub policy_name: id::Policy,
    /// The policy with the overrides of the preset in force.
    pub policy: Policy,
    /// The secret that is presented to the backend servers.
    pub secret: Option<Secret>,
}

/// The route of a call.
#[derive(Clone, Copy, Debug)]
pub struct Match<'i> {
    /// Whether the call needs no key although the configuration declares client accounts.
    pub is_public: bool,
    /// The target selected for the call.
    pub target: &'i Arc<Target>,
}

/// The parts of a request, apart from its headers, that a route is matched by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLine<'r> {
    /// The host of the request, in lower case and without port.
    pub host: &'r str,
    /// The method.
    pub method: &'r str,
    /// The path, without the query.
    pub path: &'r str,
}

impl Index {
    /// Indexes the routes of `snapshot`.
    pub fn new(snapshot: &Snapshot) -> Self {
        Self::with_previous(&Self::default(), snapshot)
    }

    /// Indexes the routes of `snapshot`, which replaces the snapshot of `previous`.
    ///
    /// Clusters that `snapshot` deletes are kept for some versions together with their secrets,
    /// because other nodes may still route calls to them.
    pub fn with_previous(previous: &Self, snapshot: &Snapshot) -> Self {
        let config = &snapshot.config;
        let mut index = Self {
            access: Access::new(config),
            clusters: retained_clusters(previous, snapshot.stamp.version),
            ..Self::default()
        };
        for (name, cluster) in &config.clusters {
            index.declare_cluster(snapshot, name, cluster);
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

    /// Returns the client accounts.
    pub const fn access(&self) -> &Access {
        &self.access
    }

    /// Returns the route of a call and its target. The longest prefix wins, then the route with the most
    /// conditions, then the first by name.
    ///
    /// `has_header` returns whether the request has a header with a value. The calls of a split
    /// route are distributed over its targets by weight; `random` is a random number that sets the
    /// initial position.
    pub fn find(
        &self,
        request: RequestLine<'_>,
        has_header: impl Fn(&str, &str) -> bool,
        random: u64,
    ) -> Option<Match<'_>> {
        let of_host = self.hosts.get(request.host);
        let path = request.path;
        let matches = |entry: &&Entry| entry.matches(request.method, &has_header);
        prefix_lengths(path, self.longest_prefix)
            .filter_map(|end| path.get(..end))
            .find_map(|prefix| {
                let for_host = of_host.and_then(|routes| routes.get(prefix)?.iter().find(matches));
                let for_any = self
                    .any_host
                    .get(prefix)
                    .and_then(|any| any.iter().find(matches));
                preferred(for_host, for_any)
            })
            .and_then(|entry| {
                Some(Match {
                    is_public: entry.route.is_public,
                    target: entry.pick(random)?,
                })
            })
    }

    /// Returns the target of a call that another node has routed with its own snapshot, which may
    /// be older or newer; `None` if no cluster of `service` is known.
    ///
    /// Declared clusters take precedence over deleted ones.
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

    /// Returns the cluster to use for `wanted`: of the clusters of `service` with the newest
    /// version, `wanted` itself, else the first by name.
    fn known(
        &self,
        wanted: &id::Cluster,
        service: &id::Service,
    ) -> Option<(&id::Cluster, &KnownCluster)> {
        let candidates = self.clusters.iter();
        let candidates = candidates.filter(|(_, known)| known.cluster.service == *service);
        candidates
            .min_by_key(|(name, known)| (std::cmp::Reverse(known.version), *name != wanted, *name))
    }

    /// Returns the policy `wanted`, else the first policy by name with which `cluster` is routed,
    /// else the default policy.
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

    fn declare_cluster(&mut self, snapshot: &Snapshot, name: &id::Cluster, cluster: &Cluster) {
        let secret = cluster.secret.as_ref();
        let known = KnownCluster {
            cluster: cluster.clone(),
            secret: secret.and_then(|name| snapshot.config.secrets.get(name).cloned()),
            version: snapshot.stamp.version,
        };
        self.clusters.insert(name.clone(), known);
    }

    /// Returns the target for `cluster` and `policy`; `None` if one of them is not declared.
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

    /// Returns the targets of `route`, each with the sum of the weights up to and including it.
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
            Some(host) => self.hosts.entry(lowercase(host)).or_default(),
            None => &mut self.any_host,
        };
        let entries = prefixes.entry(route.prefix.clone()).or_default();
        entries.push(Entry {
            name: name.clone(),
            route: route.clone(),
            targets,
            position: Cell::new(None),
        });
        entries.sort_by(|left, right| left.rank().cmp(&right.rank()));
        self.longest_prefix = self.longest_prefix.max(route.prefix.len());
    }
}

/// Returns the clusters of `previous` that calls may still be routed to under `version`.
fn retained_clusters(previous: &Index, version: Version) -> BTreeMap<id::Cluster, KnownCluster> {
    let is_recent = |known: &KnownCluster| {
        version.get().saturating_sub(known.version.get()) <= DELETED_CLUSTER_VERSIONS
    };
    let clusters = previous.clusters.iter();
    let clusters = clusters.filter(|(_, known)| is_recent(known));
    clusters
        .map(|(name, known)| (name.clone(), known.clone()))
        .collect()
}

impl Entry {
    /// Returns the target at the current position and advances the position, which starts at
    /// `random`.
    fn pick(&self, random: u64) -> Option<&Arc<Target>> {
        let (sum, _) = self.targets.last()?;
        let position = self.position.get().unwrap_or(random);
        self.position.set(Some(position.wrapping_add(GOLDEN_RATIO)));
        let point = (u128::from(position) * u128::from(*sum)) >> 64;
        let picked = self
            .targets
            .iter()
            .find(|(below, _)| point < u128::from(*below));
        picked.map(|(_, target)| target)
    }

    /// Returns the sort key among the routes of one prefix: most conditions first, then by name.
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

    /// Returns whether a request meets the conditions on method and header.
    fn matches(&self, method: &str, has_header: impl Fn(&str, &str) -> bool) -> bool {
        let wanted = self.route.method.as_deref();
        let header = self.route.header.as_ref();
        wanted.is_none_or(|wanted| wanted == method)
            && header.is_none_or(|header| has_header(&header.name, &header.value))
    }
}

/// Returns the lengths of the candidate prefixes of `path`, longest first. A prefix ends after a
/// `/`, before one, or at the end of the path.
fn prefix_lengths(path: &str, longest: usize) -> impl Iterator<Item = usize> + '_ {
    let bytes = path.as_bytes();
    (1..=bytes.len().min(longest))
        .rev()
        .filter(move |&end| end == bytes.len() || bytes[end] == b'/' || bytes[end - 1] == b'/')
}

/// Returns the entry with the lower rank.
fn preferred<'a>(left: Option<&'a Entry>, right: Option<&'a Entry>) -> Option<&'a Entry> {
    match (left, right) {
        (Some(left), Some(right)) => Some(if left.rank() <= right.rank() {
            left
        } else {
            right
        }),
        (left, right) => left.or(right),
    }
}

fn lowercase(host: &str) -> CompactString {
    host.to_ascii_lowercase().into()
}
