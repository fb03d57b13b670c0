//! Which route a call takes.

use std::collections::HashMap;
use std::sync::Arc;

use cicadagw_config::{Cluster, Policy, Route, Secret, Snapshot};
use cicadagw_unit::id;
use compact_str::CompactString;

/// The routes of one snapshot, arranged so that a match costs as many look-ups as the path has
/// segments, however many routes there are.
#[derive(Debug, Default)]
pub struct Index {
    any_host: Prefixes,
    hosts: HashMap<CompactString, Prefixes>,
    longest_prefix: usize,
    targets: HashMap<(id::Cluster, id::Policy), Arc<Target>>,
    clusters: HashMap<id::Cluster, Arc<Target>>,
}

/// Routes by prefix; those of one prefix stand in the order in which they are tried.
type Prefixes = HashMap<CompactString, Vec<Entry>>;

/// One route.
#[derive(Debug)]
struct Entry {
    name: id::Route,
    route: Route,
    target: Arc<Target>,
}

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
pub struct Line<'r> {
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
        let mut index = Self::default();
        for (name, route) in &snapshot.config.routes {
            if let Some(target) = index.target(snapshot, &route.cluster, &route.policy) {
                index.insert(name, route, target);
            }
        }
        index.add_unrouted(snapshot);
        index
    }

    /// Returns the target for a call: longest prefix first, then most conditions, then first name.
    ///
    /// `has_header` tells whether the request has a header with a value.
    pub fn find(
        &self,
        line: Line<'_>,
        has_header: impl Fn(&str, &str) -> bool,
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
            .map(|entry| &entry.target)
    }

    /// Returns the target of a call that another node has routed with a snapshot of its own, which
    /// may be older or newer; `None` when the cluster is no longer for `service`.
    pub fn resolve(
        &self,
        cluster: &id::Cluster,
        policy: &id::Policy,
        service: &id::Service,
    ) -> Option<&Arc<Target>> {
        let exact = self.targets.get(&(cluster.clone(), policy.clone()));
        exact
            .or_else(|| self.clusters.get(cluster))
            .filter(|target| target.cluster.service == *service)
            .or_else(|| {
                self.clusters
                    .values()
                    .filter(|target| target.cluster.service == *service)
                    .min_by(|left, right| left.name.cmp(&right.name))
            })
    }

    /// Adds the clusters that no route names: nodes that still hold an older version route to them.
    fn add_unrouted(&mut self, snapshot: &Snapshot) {
        let config = &snapshot.config;
        for cluster in config.clusters.keys() {
            if self.clusters.contains_key(cluster) {
                continue;
            }
            for policy in config.policies.keys() {
                self.target(snapshot, cluster, policy);
            }
        }
    }

    fn target(
        &mut self,
        snapshot: &Snapshot,
        cluster: &id::Cluster,
        policy: &id::Policy,
    ) -> Option<Arc<Target>> {
        let key = (cluster.clone(), policy.clone());
        if let Some(target) = self.targets.get(&key) {
            return Some(target.clone());
        }
        let config = &snapshot.config;
        let declared = config.clusters.get(cluster)?;
        let secret = declared.secret.as_ref();
        let target = Arc::new(Target {
            name: cluster.clone(),
            cluster: declared.clone(),
            policy_name: policy.clone(),
            policy: config.policy(policy, &snapshot.preset)?,
            secret: secret.and_then(|name| config.secrets.get(name).cloned()),
        });
        self.clusters
            .entry(cluster.clone())
            .or_insert_with(|| target.clone());
        self.targets.insert(key, target.clone());
        Some(target)
    }

    fn insert(&mut self, name: &id::Route, route: &Route, target: Arc<Target>) {
        let prefixes = match &route.host {
            Some(host) => self.hosts.entry(lower(host)).or_default(),
            None => &mut self.any_host,
        };
        let entries = prefixes.entry(route.prefix.clone()).or_default();
        entries.push(Entry {
            name: name.clone(),
            route: route.clone(),
            target,
        });
        entries.sort_by(|left, right| left.rank().cmp(&right.rank()));
        self.longest_prefix = self.longest_prefix.max(route.prefix.len());
    }
}

impl Entry {
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
