//! Reading of a declared configuration from JSON with comments.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use cicadagw_finding::{Finding, Findings, Location};
use cicadagw_jsonc::{Object, Reader};
use cicadagw_unit::id;

use crate::policy::{self, Idempotency};
use crate::{Cluster, Config, Edge, Policy, Preset, Route, Secret, check, route, secret};

/// The places of objects, by their kind and name as in [`crate::Violation::object`].
type Places = BTreeMap<String, Location>;

/// Reads a configuration from `text`, which came from `source`, and checks it with every preset.
///
/// # Errors
///
/// All findings: what cannot be read, and what the check of the whole finds.
pub fn load(source: &str, text: &str) -> Result<Config, Findings> {
    let mut places = Places::new();
    let config = cicadagw_jsonc::read(source, text, |document| {
        let table = document.object()?;
        let config = Config {
            clusters: objects(&table, "clusters", &mut places, cluster),
            edge: table
                .get("edge")
                .and_then(|value| edge(&value))
                .unwrap_or_default(),
            policies: objects(&table, "policies", &mut places, policy),
            presets: objects(&table, "presets", &mut places, preset),
            routes: objects(&table, "routes", &mut places, route),
            secrets: objects(&table, "secrets", &mut places, secret),
        };
        if config.presets.is_empty() {
            document.report("no preset is declared");
        }
        table.finish();
        Some(config)
    })?;
    let mut findings = Findings::default();
    let Some(first) = config.presets.keys().next() else {
        return Ok(config);
    };
    for fault in check(&config, first) {
        findings.push(Finding {
            location: places
                .get(&fault.object)
                .cloned()
                .unwrap_or_else(|| Location::of(source, text, 0)),
            message: format!("{}: {}", fault.object, fault.message),
            help: None,
        });
    }
    findings.into_result(config)
}

/// Reads all objects of one kind.
fn objects<K: FromStr<Err: Display> + Ord, V>(
    table: &Object<'_, '_>,
    kind: &'static str,
    places: &mut Places,
    take: fn(&Object<'_, '_>) -> Option<V>,
) -> BTreeMap<K, V> {
    let Some(list) = table.get(kind).and_then(|value| value.object()) else {
        return BTreeMap::new();
    };
    let mut objects = BTreeMap::new();
    for (name, value) in list.entries() {
        places.insert(format!("{kind}/{name}"), value.location());
        let key = name
            .parse()
            .map_err(|error: K::Err| value.report(error.to_string()));
        let Some(fields) = value.object() else {
            continue;
        };
        let object = take(&fields);
        fields.finish();
        if let (Ok(key), Some(object)) = (key, object) {
            objects.insert(key, object);
        }
    }
    objects
}

fn route(table: &Object<'_, '_>) -> Option<Route> {
    let cluster = table.required("cluster").and_then(|value| value.parse());
    let header = table.get("header").and_then(|value| header(&value));
    let host = table
        .get("host")
        .and_then(|value| value.string())
        .map(Into::into);
    let method = table
        .get("method")
        .and_then(|value| value.string())
        .map(Into::into);
    let policy = table.required("policy").and_then(|value| value.parse());
    let split = table.get("split").and_then(|value| value.array(part));
    let prefix = table.required("prefix").and_then(|value| value.string());
    Some(Route {
        cluster: cluster?,
        header,
        host,
        method,
        policy: policy?,
        prefix: prefix?.into(),
        split: split.unwrap_or_default(),
    })
}

fn part(value: &Reader<'_, '_>) -> Option<route::Destination> {
    let table = value.object()?;
    let cluster = table.required("cluster").and_then(|value| value.parse());
    let weight = table.required("weight").and_then(|value| value.parse());
    table.finish();
    Some(route::Destination {
        cluster: cluster?,
        weight: weight?,
    })
}

fn edge(value: &Reader<'_, '_>) -> Option<Edge> {
    let table = value.object()?;
    let default = Edge::default();
    let edge = Edge {
        body: parsed(&table, "body").unwrap_or(default.body),
        header_timeout: parsed(&table, "header_timeout").unwrap_or(default.header_timeout),
        headers: parsed(&table, "headers").unwrap_or(default.headers),
        idle_timeout: parsed(&table, "idle_timeout").unwrap_or(default.idle_timeout),
    };
    table.finish();
    Some(edge)
}

fn header(value: &Reader<'_, '_>) -> Option<route::Header> {
    let table = value.object()?;
    let name = table.required("name").and_then(|name| name.string());
    let value = table.required("value").and_then(|value| value.string());
    table.finish();
    Some(route::Header {
        name: name?.to_ascii_lowercase().into(),
        value: value?.into(),
    })
}

fn cluster(table: &Object<'_, '_>) -> Option<Cluster> {
    let service = table.required("service").and_then(|value| value.parse());
    let panic_threshold = parsed(table, "panic_threshold");
    let secret: Option<id::Secret> = parsed(table, "secret");
    Some(Cluster {
        service: service?,
        panic_threshold: panic_threshold.unwrap_or(PANIC_THRESHOLD),
        secret,
    })
}

/// The share of endpoints that must look healthy where a cluster does not say.
const PANIC_THRESHOLD: cicadagw_unit::rate::Permille = cicadagw_unit::rate::Permille::new(500);

fn secret(table: &Object<'_, '_>) -> Option<Secret> {
    let header = table.required("header").and_then(|value| value.string());
    let value = table.required("value").and_then(|value| value.string());
    Some(Secret {
        header: header?.to_ascii_lowercase().into(),
        value: secret::Value::new(value?),
    })
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "all readers of objects have the same form"
)]
fn policy(table: &Object<'_, '_>) -> Option<Policy> {
    let change = change(table);
    let idempotency = table.get("idempotency").map(|value| idempotency(&value));
    let base = Policy::builder()
        .idempotency(idempotency.flatten().unwrap_or_default())
        .maybe_priority(parsed(table, "priority"))
        .maybe_target_latency(parsed(table, "target_latency"))
        .build();
    Some(change.apply(&base))
}

fn idempotency(value: &Reader<'_, '_>) -> Option<Idempotency> {
    match value.string()? {
        "always" => Some(Idempotency::Always),
        "by-method" => Some(Idempotency::ByMethod),
        "never" => Some(Idempotency::Never),
        other => {
            value.report_with_help(
                format!("`{other}` is not known"),
                "known here: always, by-method, never",
            );
            None
        }
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "all readers of objects have the same form"
)]
fn preset(table: &Object<'_, '_>) -> Option<Preset> {
    let mut policies = BTreeMap::new();
    if let Some(changes) = table.get("policies").and_then(|value| value.object()) {
        for (name, value) in changes.entries() {
            let key = name
                .parse()
                .map_err(|error: cicadagw_unit::Error| value.report(error.to_string()));
            let Some(fields) = value.object() else {
                continue;
            };
            let change = change(&fields);
            fields.finish();
            if let Ok(key) = key {
                policies.insert(key, change);
            }
        }
    }
    Some(Preset { policies })
}

fn change(table: &Object<'_, '_>) -> policy::Override {
    policy::Override {
        attempts: table
            .get("attempts")
            .and_then(|value| value.number(1, u64::from(u8::MAX)))
            .and_then(|number| u8::try_from(number).ok()),
        concurrency: parsed(table, "concurrency"),
        queue: parsed(table, "queue"),
        retry_budget: parsed(table, "retry_budget"),
        timeout: parsed(table, "timeout"),
    }
}

fn parsed<T: FromStr<Err: Display>>(table: &Object<'_, '_>, name: &'static str) -> Option<T> {
    table.get(name).and_then(|value| value.parse())
}
