//! Differences between two configurations, as data.

use std::collections::BTreeSet;

use cicadagw_config::{Config, Snapshot, render};
use serde_json::{Map, Value};

/// What a secret shows in place of its value.
pub(crate) const REDACTED: &str = "[redacted]";

/// An object that is not the same in two configurations.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// The kind and the name of the object, such as `routes/shop`.
    pub object: String,
    /// What became of it.
    pub kind: Kind,
    /// The fields that are not the same.
    pub fields: Vec<Field>,
}

/// What became of an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It is new.
    Added,
    /// It has other fields.
    Changed,
    /// It is gone.
    Removed,
}

/// A field that is not the same.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Field {
    /// Its name.
    pub name: String,
    /// What it was, if it was there; secrets are redacted.
    pub from: Option<Value>,
    /// What it is, if it is there; secrets are redacted.
    pub to: Option<Value>,
}

/// Returns every difference between two configurations, by the name of the object.
pub fn configs(from: &Config, to: &Config) -> Vec<Difference> {
    let (from, to) = (tree(from), tree(to));
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

/// Returns every difference between two snapshots; the preset in force is one of them.
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

/// Returns `config` as it would be declared, without the values of secrets.
pub fn redacted(config: &Config) -> Value {
    let mut tree = tree(config);
    if let Some(secrets) = tree.get_mut("secrets").and_then(Value::as_object_mut) {
        for secret in secrets.values_mut() {
            secret["value"] = Value::from(REDACTED);
        }
    }
    Value::Object(tree)
}

fn tree(config: &Config) -> Map<String, Value> {
    match render(config) {
        Value::Object(tree) => tree,
        _ => unreachable!("a configuration is a table in JSON"),
    }
}

fn names<'m>(old: &'m Map<String, Value>, new: &'m Map<String, Value>) -> BTreeSet<&'m String> {
    old.keys().chain(new.keys()).collect()
}

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
            from: old.get(name).map(|value| shown(is_secret, name, value)),
            to: new.get(name).map(|value| shown(is_secret, name, value)),
        })
        .collect();
    Some(Difference {
        object,
        kind,
        fields,
    })
}

fn shown(is_secret: bool, name: &str, value: &Value) -> Value {
    if is_secret && name == "value" {
        Value::from(REDACTED)
    } else {
        value.clone()
    }
}
