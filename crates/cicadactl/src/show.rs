//! Commands that show the active configuration and its history.

use std::path::Path;

use cicadagw_accept::diff::{self, Difference, Kind};
use cicadagw_accept::{StoredHead, load_snapshot, read_head};
use cicadagw_config::{Config, Snapshot, render};
use cicadagw_platform::Store;
use serde_json::{Value, json};

use crate::table::table;
use crate::{Exit, Failure, Output, file};

/// Shows the active configuration, in the form in which it is declared; `reveal` includes
/// secrets.
///
/// # Errors
///
/// Fails if no configuration is active, or it cannot be read.
pub async fn config<S: Store>(store: &S, reveal: bool) -> Result<Output, Failure> {
    let snapshot = snapshot(store).await?;
    let config = if reveal {
        render(&snapshot.config)
    } else {
        diff::redacted(&snapshot.config)
    };
    Ok(Output {
        text: format!("{config:#}"),
        json: json!({
            "version": snapshot.stamp.version,
            "digest": snapshot.stamp.digest,
            "preset": snapshot.preset,
            "config": config,
        }),
    })
}

/// Shows what the configuration in `path` would change.
///
/// # Errors
///
/// Fails if the file has findings, or the active configuration cannot be read.
pub async fn difference<S: Store>(store: &S, path: &Path) -> Result<Output, Failure> {
    let config = file::read(path)?;
    let active = match read_head(store).await? {
        Some(stored) => load_snapshot(store, stored.head.newest()).await?.config,
        None => Config::default(),
    };
    let list = diff::configs(&active, &config);
    let text = if list.is_empty() {
        "no difference".to_owned()
    } else {
        differences(&list)
    };
    Ok(Output {
        json: json!(list),
        text,
    })
}

/// Shows the declared presets and the active one.
///
/// # Errors
///
/// Fails if no configuration is active, or it cannot be read.
pub async fn presets<S: Store>(store: &S) -> Result<Output, Failure> {
    let snapshot = snapshot(store).await?;
    let names: Vec<_> = snapshot.config.presets.keys().collect();
    let lines: Vec<String> = names
        .iter()
        .map(|name| {
            let mark = if **name == snapshot.preset { '*' } else { ' ' };
            format!("{mark} {name}")
        })
        .collect();
    Ok(Output {
        json: json!({ "in_force": snapshot.preset, "declared": names }),
        text: lines.join("\n"),
    })
}

/// Shows the accepted changes, newest first.
///
/// # Errors
///
/// Fails if no configuration was applied yet, or the platform cannot be read.
pub async fn history<S: Store>(store: &S) -> Result<Output, Failure> {
    let history = require_head(store).await?.head.history;
    let rows: Vec<[String; 5]> = history
        .iter()
        .map(|entry| {
            [
                entry.stamp.version.to_string(),
                entry.preset.to_string(),
                entry.operator.to_string(),
                entry.change.to_string(),
                entry.stamp.digest.to_string(),
            ]
        })
        .collect();
    Ok(Output {
        json: json!(history),
        text: table(["VERSION", "PRESET", "OPERATOR", "CHANGE", "DIGEST"], &rows),
    })
}

/// Formats differences, with one line per object and field.
pub(crate) fn differences(list: &[Difference]) -> String {
    let mut lines = Vec::new();
    for difference in list {
        let mark = match difference.kind {
            Kind::Added => '+',
            Kind::Changed => '~',
            Kind::Removed => '-',
        };
        lines.push(format!("{mark} {}", difference.object));
        if difference.kind == Kind::Removed {
            continue;
        }
        for field in &difference.fields {
            lines.push(match (&field.from, &field.to) {
                (None, Some(to)) => format!("    {}: {}", field.name, value_text(to)),
                (Some(from), None) => format!("    {}: {} -> none", field.name, value_text(from)),
                (from, to) => {
                    let [from, to] =
                        [from, to].map(|side| side.as_ref().map_or_else(String::new, value_text));
                    format!("    {}: {from} -> {to}", field.name)
                }
            });
        }
    }
    lines.join("\n")
}

/// Formats a JSON value; a string has no quotes.
fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads the head of the configuration, which must exist.
async fn require_head<S: Store>(store: &S) -> Result<StoredHead, Failure> {
    read_head(store).await?.ok_or_else(|| {
        Failure::new(
            Exit::Refused,
            "no configuration was applied yet",
            "activate one with `cicadactl apply FILE`",
        )
    })
}

/// Reads the active snapshot.
async fn snapshot<S: Store>(store: &S) -> Result<Snapshot, Failure> {
    let stored = require_head(store).await?;
    Ok(load_snapshot(store, stored.head.newest()).await?)
}
