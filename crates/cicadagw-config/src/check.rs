//! Checks of a configuration as a whole.

use cicadagw_unit::id;
use cicadagw_unit::rate::Permille;

use crate::{Config, Policy};

/// Something that is wrong with a configuration, and the object it is wrong with.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Violation {
    /// The kind and the name of the object, such as `routes/shop`.
    pub object: String,
    /// What is wrong.
    pub message: String,
}

/// Returns everything that is wrong with `config` with `preset` in force.
///
/// References are closed: every route's cluster and policy, every cluster's secret, and every
/// preset's policies are there.
pub fn check(config: &Config, preset: &id::Preset) -> Vec<Violation> {
    let mut faults = Vec::new();
    if !config.presets.contains_key(preset) {
        faults.push(fault(
            "presets",
            preset,
            "is to be in force but is not declared".to_owned(),
        ));
    }
    check_routes(config, &mut faults);
    for (name, cluster) in &config.clusters {
        if let Some(secret) = cluster
            .secret
            .as_ref()
            .filter(|name| !config.secrets.contains_key(*name))
        {
            faults.push(fault(
                "clusters",
                name,
                format!("secret `{secret}` is not declared"),
            ));
        }
        if cluster.panic_threshold > Permille::WHOLE {
            faults.push(fault(
                "clusters",
                name,
                "panic_threshold is over 1000permille".to_owned(),
            ));
        }
    }
    for (name, policy) in &config.policies {
        check_policy("policies", name, policy, &mut faults);
    }
    for (name, preset) in &config.presets {
        for (policy_name, change) in &preset.policies {
            match config.policies.get(policy_name) {
                Some(policy) => check_policy("presets", name, &change.apply(policy), &mut faults),
                None => faults.push(fault(
                    "presets",
                    name,
                    format!("policy `{policy_name}` is not declared"),
                )),
            }
        }
    }
    faults
}

fn check_routes(config: &Config, faults: &mut Vec<Violation>) {
    for (name, route) in &config.routes {
        let missing = |cluster: &&id::Cluster| !config.clusters.contains_key(*cluster);
        for cluster in route.clusters().filter(missing) {
            faults.push(fault(
                "routes",
                name,
                format!("cluster `{cluster}` is not declared"),
            ));
        }
        if !route.split.is_empty() && route.split.iter().all(|part| part.weight.get() == 0) {
            faults.push(fault(
                "routes",
                name,
                "every weight of the split is 0: no call could be made".to_owned(),
            ));
        }
        if !config.policies.contains_key(&route.policy) {
            faults.push(fault(
                "routes",
                name,
                format!("policy `{}` is not declared", route.policy),
            ));
        }
        if !route.prefix.starts_with('/') {
            faults.push(fault(
                "routes",
                name,
                format!("prefix `{}` does not begin with `/`", route.prefix),
            ));
        }
    }
}

fn check_policy(kind: &str, name: &impl ToString, policy: &Policy, faults: &mut Vec<Violation>) {
    if policy.attempts == 0 {
        faults.push(fault(
            kind,
            name,
            "attempts is 0: no call could be made".to_owned(),
        ));
    }
    if policy.concurrency.get() == 0 {
        faults.push(fault(
            kind,
            name,
            "concurrency is 0: no call could be made".to_owned(),
        ));
    }
    if policy.timeout.get() == 0 {
        faults.push(fault(
            kind,
            name,
            "timeout is 0ms: every call would be late".to_owned(),
        ));
    }
    if policy.retry_budget > Permille::WHOLE {
        faults.push(fault(
            kind,
            name,
            "retry_budget is over 1000permille".to_owned(),
        ));
    }
}

fn fault(kind: &str, name: &impl ToString, message: String) -> Violation {
    Violation {
        object: format!("{kind}/{}", name.to_string()),
        message,
    }
}
