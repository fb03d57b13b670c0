//! Differences between two configurations, in a serializable form.

use std::collections::BTreeSet;

use cicadagw_config::{Config, Snapshot, render};
use serde_json::{Map, Value};

/// The placeholder for the value of a secret.
pub(crate) const REDACTED: &str = "[redacted]";

/// An object that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// The kind and the name of the object, such as `routes/shop`, or `preset in force`.
    pub object: String,
    /// How the object differs.
    pub kind: Kind,
    /// The fields that differ.
    pub fields: Vec<Field>,
}

/// How an object differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The object was added.
    Added,
    /// Fields of the object changed.
    Changed,
    /// The object was removed.
    Removed,
}

/// A field that differs.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Field {
    /// The name of the field.
    pub name: String,
    /// The old value; `None` if the field was not set. Secrets are redacted.
    pub from: Option<Value>,
    /// The new value; `None` if the field is not set. Secrets are redacted.
    pub to: Option<Value>,
}

/// Returns the differences between two configurations, sorted by object kind and name.
pub fn configs(from: &Config, to: &Config) -> Vec<Difference> {
    let (from, to) = (rendered(from), rendered(to));
    let mut differences = Vec::new();
    for (kind, new) in &to {
        let (Some(new), Some(old)) = (new.as_object(), from[kind].as_object()) else {
            continue;
        };
        for name in names(old, new) {
            let object = format!("{kind}/{name}");
            differences.extend(object_difference(object, old.get(name), new.get(name)));
        }
    }
    differences
}

/// Returns the differences between two snapshots, including the preset in force.
pub fn snapshots(from: &Snapshot, to: &Snapshot) -> Vec<Difference> {
    let mut differences = Vec::new();
    if from.preset != to.preset {
        differences.push(Difference {
            object: "preset in force".to_owned(),
            kind: Kind::Changed,
            fields: vec![Field {
                name: "name".to_owned(),
                from: Some(Value::from(from.preset.as_str())),
                to: Some(Value::from(to.preset.as_str())),
            }],
        });
    }
    differences.extend(configs(&from.config, &to.config));
    differences
}

/// Returns `config` as JSON, as in a configuration file, with the values of secrets redacted.
pub fn redacted(config: &Config) -> Value {
    let mut kinds = rendered(config);
    if let Some(secrets) = kinds.get_mut("secrets").and_then(Value::as_object_mut) {
        for secret in secrets.values_mut() {
            secret["value"] = Value::from(REDACTED);
        }
    }
    Value::Object(kinds)
}

/// Returns `config` as a JSON object, which holds one object for each kind.
fn rendered(config: &Config) -> Map<String, Value> {
    match render(config) {
        Value::Object(kinds) => kinds,
        _ => unreachable!("a configuration renders as a JSON object"),
    }
}

/// Returns the names that occur in either object.
fn names<'m>(old: &'m Map<String, Value>, new: &'m Map<String, Value>) -> BTreeSet<&'m String> {
    old.keys().chain(new.keys()).collect()
}

/// Returns how an object differs; `None` if it does not.
fn object_difference(
    object: String,
    old: Option<&Value>,
    new: Option<&Value>,
) -> Option<Difference> {
    let kind = match (old, new) {
        (None, _) => Kind::Added,
        (_, None) => Kind::Removed,
        (Some(old), Some(new)) if old == new => return None,
        _ => Kind::Changed,
    };
    let empty = Map::new();
    let old = old.and_then(Value::as_object).unwrap_or(&empty);
    let new = new.and_then(Value::as_object).unwrap_or(&empty);
    let is_secret = object.starts_with("secrets/");
    let fields = names(old, new)
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| Field {
            name: name.clone(),
            from: old.get(name).map(|value| redact(is_secret, name, value)),
            to: new.get(name).map(|value| redact(is_secret, name, value)),
        })
        .collect();
    Some(Difference {
        object,
        kind,
        fields,
    })
}

/// Returns `value`, or the placeholder if it is the value of a secret.
fn redact(is_secret: bool, name: &str, value: &Value) -> Value {
    if is_secret && name == "value" {
        Value::from(REDACTED)
    } else {
        value.clone()
    }
}
