//! The whole of the declared objects.

use std::collections::BTreeMap;

use cicadagw_unit::{Digest, id};

use crate::{Cluster, Edge, Policy, Preset, Route, Secret};

/// Every declared object, by its kind and name.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// What endpoint sets routes may point at.
    pub clusters: BTreeMap<id::Cluster, Cluster>,
    /// What callers may send.
    #[serde(skip_serializing_if = "Edge::is_default")]
    pub edge: Edge,
    /// How calls of a route are treated.
    pub policies: BTreeMap<id::Policy, Policy>,
    /// What may be in force.
    pub presets: BTreeMap<id::Preset, Preset>,
    /// Where calls go.
    pub routes: BTreeMap<id::Route, Route>,
    /// What clusters present to their backend servers.
    pub secrets: BTreeMap<id::Secret, Secret>,
}

impl Config {
    /// Returns the digest of the configuration with `preset` in force.
    pub fn digest(&self, preset: &id::Preset) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(preset.as_str().as_bytes());
        hasher.update(&[0]);
        serde_json::to_writer(&mut hasher, self).expect("a configuration can be written as JSON");
        Digest::from_hash(hasher.finalize().as_bytes())
    }

    /// Returns the policy `name` as `preset` changes it.
    pub fn policy(&self, name: &id::Policy, preset: &id::Preset) -> Option<Policy> {
        let policy = self.policies.get(name)?;
        let change = self
            .presets
            .get(preset)
            .and_then(|preset| preset.policies.get(name));
        Some(change.map_or_else(|| policy.clone(), |change| change.apply(policy)))
    }
}
