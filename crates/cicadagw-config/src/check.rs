//! Semantic validation of a configuration.

use std::collections::BTreeMap;

use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;

use crate::{Config, Policy};

/// A violated rule of validation, and the object that violates it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Violation {
    /// The kind and the name of the object, such as `routes/shop`.
    pub object: String,
    /// A description of the violation.
    pub message: String,
}

/// Returns all violations in `config` with the active preset `preset`.
///
/// A valid configuration declares every object that it refers to: the clusters and the policy of
/// every route, the secret of every cluster, and the policies that a preset overrides. Each policy
/// is checked as declared and as each preset overrides it.
pub fn check(config: &Config, preset: &id::Preset) -> Vec<Violation> {
    let mut violations = Vec::new();
    if !config.presets.contains_key(preset) {
        violations.push(violation(
            "presets",
            preset,
            "is selected but not declared".to_owned(),
        ));
    }
    check_accounts(config, &mut violations);
    check_routes(config, &mut violations);
    for (name, cluster) in &config.clusters {
        if let Some(secret) = cluster
            .secret
            .as_ref()
            .filter(|name| !config.secrets.contains_key(*name))
        {
            violations.push(violation(
                "clusters",
                name,
                format!("secret `{secret}` is not declared"),
            ));
        }
        if cluster.panic_threshold > Permille::WHOLE {
            violations.push(violation(
                "clusters",
                name,
                "panic_threshold is over 1000permille".to_owned(),
            ));
        }
    }
    for (name, policy) in &config.policies {
        check_policy("policies", name, policy, &mut violations);
    }
    for (name, preset) in &config.presets {
        for (policy_name, overrides) in &preset.policies {
            match config.policies.get(policy_name) {
                Some(policy) => {
                    check_policy("presets", name, &overrides.apply(policy), &mut violations);
                }
                None => violations.push(violation(
                    "presets",
                    name,
                    format!("policy `{policy_name}` is not declared"),
                )),
            }
        }
    }
    violations
}

fn check_accounts(config: &Config, violations: &mut Vec<Violation>) {
    let mut holders = BTreeMap::new();
    for (name, account) in &config.accounts {
        for key in &account.keys {
            if let Some(other) = holders.insert(key, name) {
                violations.push(violation(
                    "accounts",
                    name,
                    format!("keys: account `{other}` has the same key"),
                ));
            }
        }
        if account.quota.is_some_and(|quota| quota.rate.milli() == 0) {
            violations.push(violation(
                "accounts",
                name,
                "quota: rate is 0: no call would be allowed".to_owned(),
            ));
        }
    }
}

fn check_routes(config: &Config, violations: &mut Vec<Violation>) {
    for (name, route) in &config.routes {
        let is_missing = |cluster: &&id::Cluster| !config.clusters.contains_key(*cluster);
        for cluster in route.clusters().filter(is_missing) {
            violations.push(violation(
                "routes",
                name,
                format!("cluster `{cluster}` is not declared"),
            ));
        }
        if !route.split.is_empty()
            && route
                .split
                .iter()
                .all(|destination| destination.weight.get() == 0)
        {
            violations.push(violation(
                "routes",
                name,
                "every weight of the split is 0: no call would be sent".to_owned(),
            ));
        }
        if !config.policies.contains_key(&route.policy) {
            violations.push(violation(
                "routes",
                name,
                format!("policy `{}` is not declared", route.policy),
            ));
        }
        if !route.prefix.starts_with('/') {
            violations.push(violation(
                "routes",
                name,
                format!("prefix `{}` does not begin with `/`", route.prefix),
            ));
        }
    }
}

fn check_policy(
    kind: &str,
    name: &impl ToString,
    policy: &Policy,
    violations: &mut Vec<Violation>,
) {
    if policy.attempts == 0 {
        violations.push(violation(
            kind,
            name,
            "attempts is 0: no call would be sent".to_owned(),
        ));
    }
    if policy.concurrency.get() == 0 {
        violations.push(violation(
            kind,
            name,
            "concurrency is 0: no call would be sent".to_owned(),
        ));
    }
    if policy.timeout.get() == 0 {
        violations.push(violation(
            kind,
            name,
            "timeout is 0ms: every call would time out".to_owned(),
        ));
    }
    if policy.retry_budget > Permille::WHOLE {
        violations.push(violation(
            kind,
            name,
            "retry_budget is over 1000permille".to_owned(),
        ));
    }
}

fn violation(kind: &str, name: &impl ToString, message: String) -> Violation {
    Violation {
        object: format!("{kind}/{}", name.to_string()),
        message,
    }
}
