//! The complete configuration.

use std::collections::BTreeMap;

use cicadagw_unit::{Digest, id};

use crate::{Account, Cluster, Edge, Policy, Preset, Route, Secret};

/// All declared objects, by kind and name.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The client accounts.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<id::Account, Account>,
    /// The sets of endpoints that are the targets of routes.
    pub clusters: BTreeMap<id::Cluster, Cluster>,
    /// Limits on the requests of callers.
    #[serde(skip_serializing_if = "Edge::is_default")]
    pub edge: Edge,
    /// Timeouts, retries and concurrency limits, which routes refer to.
    pub policies: BTreeMap<id::Policy, Policy>,
    /// The sets of policy overrides, of which one is active.
    pub presets: BTreeMap<id::Preset, Preset>,
    /// Whether calls need a key although there is no client account: accounts are declared, but none
    /// is left.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub requires_keys: bool,
    /// The rules that map calls to clusters and policies.
    pub routes: BTreeMap<id::Route, Route>,
    /// The credentials that calls present to backend servers.
    pub secrets: BTreeMap<id::Secret, Secret>,
}

impl Config {
    /// Returns whether accounts are declared, so that calls need a key unless their route is public.
    pub fn needs_key(&self) -> bool {
        self.requires_keys || !self.accounts.is_empty()
    }

    /// Returns the digest of the configuration with the active preset `preset`.
    pub fn digest(&self, preset: &id::Preset) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(preset.as_str().as_bytes());
        hasher.update(&[0]);
        serde_json::to_writer(&mut hasher, self).expect("a configuration serializes to JSON");
        Digest::from_hash(hasher.finalize().as_bytes())
    }

    /// Returns the policy `name` with the overrides of `preset` applied, or `None` if no policy has
    /// that name.
    pub fn policy(&self, name: &id::Policy, preset: &id::Preset) -> Option<Policy> {
        let policy = self.policies.get(name)?;
        let overrides = self
            .presets
            .get(preset)
            .and_then(|preset| preset.policies.get(name));
        Some(overrides.map_or_else(|| policy.clone(), |overrides| overrides.apply(policy)))
    }
}
