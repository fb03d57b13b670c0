//! Deltas between snapshots.

use std::collections::BTreeMap;
use std::fmt;

use cicadagw_unit::id;

use crate::{Account, Cluster, Config, Edge, Policy, Preset, Route, Secret, Snapshot, Stamp};

/// The difference between a snapshot and a later one.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The base snapshot, to which the delta applies.
    pub from: Stamp,
    /// The snapshot that the delta produces.
    pub to: Stamp,
    /// The active preset of the later snapshot.
    pub preset: id::Preset,
    /// The changed and removed client accounts.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: Changes<id::Account, Account>,
    /// The changed and removed clusters.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub clusters: Changes<id::Cluster, Cluster>,
    /// The limits on the requests of callers in the later snapshot, if they changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edge: Option<Edge>,
    /// The changed and removed policies.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub policies: Changes<id::Policy, Policy>,
    /// The changed and removed presets.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub presets: Changes<id::Preset, Preset>,
    /// Whether calls need a key without any client account in the later snapshot, if that changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requires_keys: Option<bool>,
    /// The changed and removed routes.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: Changes<id::Route, Route>,
    /// The changed and removed secrets.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub secrets: Changes<id::Secret, Secret>,
}

/// The changed objects of one kind by name, where `None` marks a removed object.
pub type Changes<K, V> = BTreeMap<K, Option<V>>;

/// The reason why a delta cannot be applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// The delta was computed from another base snapshot.
    OtherBase,
    /// The resulting configuration does not have the digest that the delta names.
    WrongDigest,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OtherBase => "the delta applies to another base snapshot",
            Self::WrongDigest => "the delta leads to another digest than it names",
        })
    }
}

impl std::error::Error for Error {}

impl Delta {
    /// Computes the delta from `from` to `to`.
    pub fn between(from: &Snapshot, to: &Snapshot) -> Self {
        Self {
            from: from.stamp,
            to: to.stamp,
            preset: to.preset.clone(),
            accounts: changes(&from.config.accounts, &to.config.accounts),
            clusters: changes(&from.config.clusters, &to.config.clusters),
            edge: (from.config.edge != to.config.edge).then_some(to.config.edge),
            policies: changes(&from.config.policies, &to.config.policies),
            presets: changes(&from.config.presets, &to.config.presets),
            requires_keys: (from.config.requires_keys != to.config.requires_keys)
                .then_some(to.config.requires_keys),
            routes: changes(&from.config.routes, &to.config.routes),
            secrets: changes(&from.config.secrets, &to.config.secrets),
        }
    }

    /// Applies the delta to `base` and returns the resulting snapshot.
    ///
    /// # Errors
    ///
    /// Fails if `base` is not the base of the delta, or if the result does not have the digest that
    /// the delta names.
    pub fn apply(self, base: &Snapshot) -> Result<Snapshot, Error> {
        if self.from != base.stamp {
            return Err(Error::OtherBase);
        }
        let mut config: Config = base.config.clone();
        merge(&mut config.accounts, self.accounts);
        merge(&mut config.clusters, self.clusters);
        config.edge = self.edge.unwrap_or(config.edge);
        merge(&mut config.policies, self.policies);
        merge(&mut config.presets, self.presets);
        config.requires_keys = self.requires_keys.unwrap_or(config.requires_keys);
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

/// Returns the objects of `to` that differ from those of `from`, and the names that `to` lacks.
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

/// Applies `changes` to `objects`.
fn merge<K: Ord, V>(objects: &mut BTreeMap<K, V>, changes: Changes<K, V>) {
    for (key, change) in changes {
        match change {
            Some(value) => objects.insert(key, value),
            None => objects.remove(&key),
        };
    }
}
