//! Deltas between snapshots.

use std::collections::BTreeMap;
use std::fmt;

use cicadagw_unit::id;

use crate::{Cluster, Config, Edge, Policy, Preset, Route, Secret, Snapshot, Stamp};

/// What leads from one snapshot to a later one.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The snapshot that it starts from.
    pub from: Stamp,
    /// The snapshot that it leads to.
    pub to: Stamp,
    /// The preset in force in the later one.
    pub preset: id::Preset,
    /// The changed clusters.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub clusters: Changes<id::Cluster, Cluster>,
    /// What callers may send in the later one, where that changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edge: Option<Edge>,
    /// The changed policies.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub policies: Changes<id::Policy, Policy>,
    /// The changed presets.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub presets: Changes<id::Preset, Preset>,
    /// The changed routes.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: Changes<id::Route, Route>,
    /// The changed secrets.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub secrets: Changes<id::Secret, Secret>,
}

/// Changed objects of one kind; `None` stands for a removed one.
pub type Changes<K, V> = BTreeMap<K, Option<V>>;

/// Says why a delta cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// It starts from another snapshot.
    OtherBase,
    /// What it leads to has another digest than it says.
    WrongDigest,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherBase => "the delta starts from another snapshot",
            Self::WrongDigest => "the delta leads to another digest than it names",
        })
    }
}

impl std::error::Error for Error {}

impl Delta {
    /// Returns what leads from `from` to `to`.
    pub fn between(from: &Snapshot, to: &Snapshot) -> Self {
        Self {
            from: from.stamp,
            to: to.stamp,
            preset: to.preset.clone(),
            clusters: changes(&from.config.clusters, &to.config.clusters),
            edge: (from.config.edge != to.config.edge).then_some(to.config.edge),
            policies: changes(&from.config.policies, &to.config.policies),
            presets: changes(&from.config.presets, &to.config.presets),
            routes: changes(&from.config.routes, &to.config.routes),
            secrets: changes(&from.config.secrets, &to.config.secrets),
        }
    }

    /// Returns the snapshot that this delta makes of `base`.
    ///
    /// # Errors
    ///
    /// When `base` is not the snapshot that the delta starts from, or the outcome has not the digest
    /// that the delta names.
    pub fn apply(self, base: &Snapshot) -> Result<Snapshot, Error> {
        if self.from != base.stamp {
            return Err(Error::OtherBase);
        }
        let mut config: Config = base.config.clone();
        merge(&mut config.clusters, self.clusters);
        config.edge = self.edge.unwrap_or(config.edge);
        merge(&mut config.policies, self.policies);
        merge(&mut config.presets, self.presets);
        merge(&mut config.routes, self.routes);
        merge(&mut config.secrets, self.secrets);
        let snapshot = Snapshot {
            config,
            preset: self.preset,
            stamp: self.to,
        };
        if snapshot.is_intact() {
            Ok(snapshot)
        } else {
            Err(Error::WrongDigest)
        }
    }
}

fn changes<K: Clone + Ord, V: Clone + PartialEq>(
    from: &BTreeMap<K, V>,
    to: &BTreeMap<K, V>,
) -> Changes<K, V> {
    let set = to
        .iter()
        .filter(|(key, value)| from.get(*key) != Some(*value))
        .map(|(key, value)| (key.clone(), Some(value.clone())));
    let removed = from
        .keys()
        .filter(|key| !to.contains_key(*key))
        .map(|key| (key.clone(), None));
    set.chain(removed).collect()
}

fn merge<K: Ord, V>(objects: &mut BTreeMap<K, V>, changes: Changes<K, V>) {
    for (key, change) in changes {
        match change {
            Some(value) => objects.insert(key, value),
            None => objects.remove(&key),
        };
    }
}
