//! Rendering of a configuration in the format that [`crate::load`] reads.

use std::collections::BTreeMap;
use std::fmt::Display;

use cicadagw_unit::rate::Priority;
use serde_json::{Map, Value, json};

use crate::{Account, Cluster, Config, Edge, Policy, Preset, Route, policy};

/// Returns `config` in the format that [`crate::load`] reads.
///
/// The result contains the values of secrets in plain text.
pub fn render(config: &Config) -> Value {
    let mut rendered = json!({
        "clusters": objects(&config.clusters, cluster),
        "policies": objects(&config.policies, policy),
        "presets": objects(&config.presets, preset),
        "routes": objects(&config.routes, route),
        "secrets": config.secrets,
    });
    if config.needs_key() {
        rendered["accounts"] = objects(&config.accounts, account);
    }
    if !config.edge.is_default() {
        rendered["edge"] = edge(&config.edge);
    }
    rendered
}

fn account(account: &Account) -> Value {
    let mut fields = Map::new();
    let keys = account.keys.iter().map(ToString::to_string);
    fields.insert("keys".to_owned(), keys.collect());
    set(&mut fields, "priority", account.priority);
    if let Some(quota) = account.quota {
        let quota = json!({ "burst": quota.burst.to_string(), "rate": quota.rate.to_string() });
        fields.insert("quota".to_owned(), quota);
    }
    Value::Object(fields)
}

fn edge(edge: &Edge) -> Value {
    let mut fields = Map::new();
    set(&mut fields, "body", Some(edge.body));
    set(&mut fields, "header_timeout", Some(edge.header_timeout));
    set(&mut fields, "headers", Some(edge.headers));
    set(&mut fields, "idle_timeout", Some(edge.idle_timeout));
    Value::Object(fields)
}

fn route(route: &Route) -> Value {
    let mut value = json!(route);
    if let Some(fields) = value.as_object_mut()
        && let Some(is_public) = fields.remove("is_public")
    {
        fields.insert("public".to_owned(), is_public);
    }
    if !route.split.is_empty() {
        let destinations = route.split.iter();
        let destinations = destinations.map(
            |destination| json!({ "cluster": destination.cluster, "weight": destination.weight.to_string() }),
        );
        value["split"] = destinations.collect();
    }
    value
}

/// Renders all objects of one kind, each with `render`.
fn objects<K: Display, V>(objects: &BTreeMap<K, V>, render: fn(&V) -> Value) -> Value {
    let entries = objects
        .iter()
        .map(|(name, object)| (name.to_string(), render(object)));
    Value::Object(entries.collect())
}

fn cluster(cluster: &Cluster) -> Value {
    let mut fields = Map::new();
    set(
        &mut fields,
        "panic_threshold",
        Some(cluster.panic_threshold),
    );
    set(&mut fields, "secret", cluster.secret.as_ref());
    set(&mut fields, "service", Some(&cluster.service));
    Value::Object(fields)
}

fn policy(policy: &Policy) -> Value {
    let mut fields = override_fields(&policy::Override {
        attempts: Some(policy.attempts),
        concurrency: Some(policy.concurrency),
        queue: Some(policy.queue),
        retry_budget: Some(policy.retry_budget),
        timeout: Some(policy.timeout),
    });
    fields.insert("idempotency".to_owned(), json!(policy.idempotency));
    if policy.priority != Priority::default() {
        set(&mut fields, "priority", Some(policy.priority));
    }
    set(&mut fields, "target_latency", policy.target_latency);
    Value::Object(fields)
}

fn preset(preset: &Preset) -> Value {
    if preset.policies.is_empty() {
        return json!({});
    }
    let fields = |overrides: &policy::Override| Value::Object(override_fields(overrides));
    json!({ "policies": objects(&preset.policies, fields) })
}

fn override_fields(overrides: &policy::Override) -> Map<String, Value> {
    let mut fields = Map::new();
    if let Some(attempts) = overrides.attempts {
        fields.insert("attempts".to_owned(), json!(attempts));
    }
    set(&mut fields, "concurrency", overrides.concurrency);
    set(&mut fields, "queue", overrides.queue);
    set(&mut fields, "retry_budget", overrides.retry_budget);
    set(&mut fields, "timeout", overrides.timeout);
    fields
}

/// Sets the field `name` to the string form of `value`, or omits the field if there is no value.
fn set(fields: &mut Map<String, Value>, name: &str, value: Option<impl Display>) {
    if let Some(value) = value {
        fields.insert(name.to_owned(), Value::from(value.to_string()));
    }
}
