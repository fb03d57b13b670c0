//! Loading of a configuration from JSON with comments.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use cicadagw_finding::{Finding, Findings, Location};
use cicadagw_jsonc::{Object, Reader};
use cicadagw_unit::id;

use crate::policy::{self, Idempotency};
use crate::{
    Account, Cluster, Config, Edge, Policy, Preset, Route, Secret, account, check, route, secret,
};

/// The locations of objects, by kind and name as in [`crate::Violation::object`].
type Locations = BTreeMap<String, Location>;

/// Loads a configuration from `text`, and validates its policies with the overrides of every preset;
/// `source` names the origin of the text in findings.
///
/// # Errors
///
/// Fails with the first syntax error, with all type errors, or with all violations that the
/// validation finds.
pub fn load(source: &str, text: &str) -> Result<Config, Findings> {
    let mut locations = Locations::new();
    let config = cicadagw_jsonc::read(source, text, |document| {
        let root = document.object()?;
        let accounts = objects(&root, "accounts", &mut locations, account);
        let config = Config {
            requires_keys: accounts.is_empty() && root.get("accounts").is_some(),
            accounts,
            clusters: objects(&root, "clusters", &mut locations, cluster),
            edge: root
                .get("edge")
                .and_then(|value| edge(&value))
                .unwrap_or_default(),
            policies: objects(&root, "policies", &mut locations, policy),
            presets: objects(&root, "presets", &mut locations, preset),
            routes: objects(&root, "routes", &mut locations, route),
            secrets: objects(&root, "secrets", &mut locations, secret),
        };
        if config.presets.is_empty() {
            document.report("no preset is declared");
        }
        root.finish();
        Some(config)
    })?;
    let mut findings = Findings::default();
    let Some(first) = config.presets.keys().next() else {
        return Ok(config);
    };
    for violation in check(&config, first) {
        findings.push(Finding {
            location: locations
                .get(&violation.object)
                .cloned()
                .unwrap_or_else(|| Location::of(source, text, 0)),
            message: format!("{}: {}", violation.object, violation.message),
            help: None,
        });
    }
    findings.into_result(config)
}

/// Reads all objects of one kind with `convert`, and records their locations.
fn objects<K: FromStr<Err: Display> + Ord, V>(
    root: &Object<'_, '_>,
    kind: &'static str,
    locations: &mut Locations,
    convert: fn(&Object<'_, '_>) -> Option<V>,
) -> BTreeMap<K, V> {
    let Some(declared) = root.get(kind).and_then(|value| value.object()) else {
        return BTreeMap::new();
    };
    let mut objects = BTreeMap::new();
    for (name, value) in declared.entries() {
        locations.insert(format!("{kind}/{name}"), value.location());
        let key = name
            .parse()
            .map_err(|error: K::Err| value.report(error.to_string()));
        let Some(fields) = value.object() else {
            continue;
        };
        let object = convert(&fields);
        fields.finish();
        if let (Ok(key), Some(object)) = (key, object) {
            objects.insert(key, object);
        }
    }
    objects
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "the conversions of all kinds have the same signature"
)]
fn account(object: &Object<'_, '_>) -> Option<Account> {
    let keys = object
        .get("keys")
        .and_then(|value| value.array(Reader::parse));
    let quota = object.get("quota").and_then(|value| quota(&value));
    Some(Account {
        keys: keys.unwrap_or_default().into_iter().collect(),
        priority: parsed(object, "priority"),
        quota,
    })
}

fn quota(value: &Reader<'_, '_>) -> Option<account::Quota> {
    let object = value.object()?;
    let rate = object.required("rate").and_then(|value| value.parse());
    let burst = parsed(&object, "burst").unwrap_or_default();
    object.finish();
    Some(account::Quota { burst, rate: rate? })
}

fn route(object: &Object<'_, '_>) -> Option<Route> {
    let cluster = object.required("cluster").and_then(|value| value.parse());
    let header = object.get("header").and_then(|value| header(&value));
    let host = object
        .get("host")
        .and_then(|value| value.string())
        .map(Into::into);
    let is_public = object.get("public").and_then(|value| value.boolean());
    let method = object
        .get("method")
        .and_then(|value| value.string())
        .map(Into::into);
    let policy = object.required("policy").and_then(|value| value.parse());
    let split = object
        .get("split")
        .and_then(|value| value.array(destination));
    let prefix = object.required("prefix").and_then(|value| value.string());
    Some(Route {
        cluster: cluster?,
        header,
        host,
        is_public: is_public.unwrap_or_default(),
        method,
        policy: policy?,
        prefix: prefix?.into(),
        split: split.unwrap_or_default(),
    })
}

fn destination(value: &Reader<'_, '_>) -> Option<route::Destination> {
    let object = value.object()?;
    let cluster = object.required("cluster").and_then(|value| value.parse());
    let weight = object.required("weight").and_then(|value| value.parse());
    object.finish();
    Some(route::Destination {
        cluster: cluster?,
        weight: weight?,
    })
}

fn edge(value: &Reader<'_, '_>) -> Option<Edge> {
    let object = value.object()?;
    let default = Edge::default();
    let edge = Edge {
        body: parsed(&object, "body").unwrap_or(default.body),
        header_timeout: parsed(&object, "header_timeout").unwrap_or(default.header_timeout),
        headers: parsed(&object, "headers").unwrap_or(default.headers),
        idle_timeout: parsed(&object, "idle_timeout").unwrap_or(default.idle_timeout),
    };
    object.finish();
    Some(edge)
}

fn header(value: &Reader<'_, '_>) -> Option<route::Header> {
    let object = value.object()?;
    let name = object.required("name").and_then(|name| name.string());
    let value = object.required("value").and_then(|value| value.string());
    object.finish();
    Some(route::Header {
        name: name?.to_ascii_lowercase().into(),
        value: value?.into(),
    })
}

fn cluster(object: &Object<'_, '_>) -> Option<Cluster> {
    let service = object.required("service").and_then(|value| value.parse());
    let panic_threshold = parsed(object, "panic_threshold");
    let secret: Option<id::Secret> = parsed(object, "secret");
    Some(Cluster {
        service: service?,
        panic_threshold: panic_threshold.unwrap_or(PANIC_THRESHOLD),
        secret,
    })
}

/// The panic threshold of clusters that declare none.
const PANIC_THRESHOLD: cicadagw_unit::rate::Permille = cicadagw_unit::rate::Permille::new(500);

fn secret(object: &Object<'_, '_>) -> Option<Secret> {
    let header = object.required("header").and_then(|value| value.string());
    let value = object.required("value").and_then(|value| value.string());
    Some(Secret {
        header: header?.to_ascii_lowercase().into(),
        value: secret::Value::new(value?),
    })
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "the conversions of all kinds have the same signature"
)]
fn policy(object: &Object<'_, '_>) -> Option<Policy> {
    let overrides = policy_override(object);
    let idempotency = object.get("idempotency").map(|value| idempotency(&value));
    let base = Policy::builder()
        .idempotency(idempotency.flatten().unwrap_or_default())
        .maybe_priority(parsed(object, "priority"))
        .maybe_target_latency(parsed(object, "target_latency"))
        .build();
    Some(overrides.apply(&base))
}

fn idempotency(value: &Reader<'_, '_>) -> Option<Idempotency> {
    match value.string()? {
        "always" => Some(Idempotency::Always),
        "by-method" => Some(Idempotency::ByMethod),
        "never" => Some(Idempotency::Never),
        other => {
            value.report_with_help(
                format!("unknown idempotency `{other}`"),
                "known values: always, by-method, never",
            );
            None
        }
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "the conversions of all kinds have the same signature"
)]
fn preset(object: &Object<'_, '_>) -> Option<Preset> {
    let mut policies = BTreeMap::new();
    if let Some(declared) = object.get("policies").and_then(|value| value.object()) {
        for (name, value) in declared.entries() {
            let key = name
                .parse()
                .map_err(|error: cicadagw_unit::Error| value.report(error.to_string()));
            let Some(fields) = value.object() else {
                continue;
            };
            let overrides = policy_override(&fields);
            fields.finish();
            if let Ok(key) = key {
                policies.insert(key, overrides);
            }
        }
    }
    Some(Preset { policies })
}

fn policy_override(object: &Object<'_, '_>) -> policy::Override {
    policy::Override {
        attempts: object
            .get("attempts")
            .and_then(|value| value.number(1, u64::from(u8::MAX)))
            .and_then(|number| u8::try_from(number).ok()),
        concurrency: parsed(object, "concurrency"),
        queue: parsed(object, "queue"),
        retry_budget: parsed(object, "retry_budget"),
        timeout: parsed(object, "timeout"),
    }
}

/// Reads and parses the optional string `name`.
fn parsed<T: FromStr<Err: Display>>(object: &Object<'_, '_>, name: &'static str) -> Option<T> {
    object.get(name).and_then(|value| value.parse())
}
