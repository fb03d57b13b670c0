//! Presets.

use std::collections::BTreeMap;

use cicadagw_unit::id;

use crate::policy;

/// A set of policy overrides; exactly one preset is active at any time.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Preset {
    /// The overrides, by policy.
    pub policies: BTreeMap<id::Policy, policy::Override>,
}
