//! Writing of a configuration in the form in which it is declared.

use std::collections::BTreeMap;
use std::fmt::Display;

use cicadagw_unit::rate::Priority;
use serde_json::{Map, Value, json};

use crate::{Cluster, Config, Edge, Policy, Preset, Route, policy};

/// Returns `config` as it would be declared; [`crate::load`] reads it back.
///
/// The values of secrets are in it.
pub fn render(config: &Config) -> Value {
    let mut declared = json!({
        "clusters": objects(&config.clusters, cluster),
        "policies": objects(&config.policies, policy),
        "presets": objects(&config.presets, preset),
        "routes": objects(&config.routes, route),
        "secrets": config.secrets,
    });
    if !config.edge.is_default() {
        declared["edge"] = edge(&config.edge);
    }
    declared
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
    if !route.split.is_empty() {
        let parts = route.split.iter();
        let parts =
            parts.map(|part| json!({ "cluster": part.cluster, "weight": part.weight.to_string() }));
        value["split"] = parts.collect();
    }
    value
}

fn objects<K: Display, V>(objects: &BTreeMap<K, V>, write: fn(&V) -> Value) -> Value {
    let entries = objects
        .iter()
        .map(|(name, object)| (name.to_string(), write(object)));
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
    let mut fields = change_fields(&policy::Override {
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
    let change = |change: &policy::Override| Value::Object(change_fields(change));
    json!({ "policies": objects(&preset.policies, change) })
}

fn change_fields(change: &policy::Override) -> Map<String, Value> {
    let mut fields = Map::new();
    if let Some(attempts) = change.attempts {
        fields.insert("attempts".to_owned(), json!(attempts));
    }
    set(&mut fields, "concurrency", change.concurrency);
    set(&mut fields, "queue", change.queue);
    set(&mut fields, "retry_budget", change.retry_budget);
    set(&mut fields, "timeout", change.timeout);
    fields
}

/// Sets a field whose value is a text with its unit.
fn set(fields: &mut Map<String, Value>, name: &str, value: Option<impl Display>) {
    if let Some(value) = value {
        fields.insert(name.to_owned(), Value::from(value.to_string()));
    }
}
