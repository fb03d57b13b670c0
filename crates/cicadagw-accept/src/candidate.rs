//! Candidates: the head and the parts that a change would write.

use cicadagw_config::head::Entry;
use cicadagw_config::part::{self, Part};
use cicadagw_config::{Config, Delta, Head, Snapshot, Violation, check};
use cicadagw_unit::{Version, id};

use crate::diff::REDACTED;
use crate::request::find_version;
use crate::{Intent, Refusal, Request};

/// The preset that the first change puts in force if it names none and this one is declared.
const DEFAULT_PRESET: &str = "ordinary";

/// The stored snapshots that a change builds on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshots {
    /// The current snapshot, or why it cannot be read; `None` if no configuration was applied yet.
    pub current: Option<Result<Snapshot, String>>,
    /// The snapshot that a rollback returns to, or why it cannot be read; `None` for other changes.
    pub rollback_target: Option<Result<Snapshot, String>>,
}

/// The head and the parts that a change would write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The new head, whose newest entry is the change.
    pub head: Head,
    /// The parts that the newest entry references.
    pub parts: Vec<Part>,
}

impl Candidate {
    /// Builds the candidate for `request` on top of `head`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the change is invalid.
    pub fn build(
        request: &Request,
        head: Option<&Head>,
        snapshots: &Snapshots,
    ) -> Result<Self, Refusal> {
        let version = head.map_or(Version::default(), Head::version).next();
        let (config, preset) = new_content(&request.intent, head, snapshots)?;
        let snapshot = Snapshot::new(version, preset, config);
        validate(&snapshot)?;
        let mut parts = part::pack(&snapshot.config);
        let digests = parts.iter().map(|part| part.digest).collect();
        let delta = delta(snapshots, &snapshot);
        let entry = Entry {
            change: request.change.clone(),
            delta: delta.as_ref().map(|part| part.digest),
            operator: request.operator.clone(),
            parts: digests,
            preset: snapshot.preset,
            stamp: snapshot.stamp,
        };
        parts.extend(delta);
        let head = match head {
            Some(head) => head.accept(entry),
            None => Head {
                history: vec![entry],
            },
        };
        Ok(Self { head, parts })
    }
}

/// Returns the new configuration and the preset to put in force.
fn new_content(
    intent: &Intent,
    head: Option<&Head>,
    snapshots: &Snapshots,
) -> Result<(Config, id::Preset), Refusal> {
    match intent {
        Intent::Apply { config, preset } => {
            let in_force = head.map(|head| head.newest().preset.clone());
            let preset = preset
                .clone()
                .or(in_force)
                .or_else(|| initial_preset(config));
            Ok(((**config).clone(), preset.ok_or(Refusal::NoPreset)?))
        }
        Intent::Preset(preset) => {
            let config = require_snapshot(snapshots.current.as_ref())?.config.clone();
            if config.presets.contains_key(preset) {
                return Ok((config, preset.clone()));
            }
            let declared = config.presets.into_keys().collect();
            Err(Refusal::UnknownPreset(preset.clone(), declared))
        }
        Intent::Rollback(version) => {
            let head = head.ok_or(Refusal::Empty)?;
            if find_version(head, *version).is_none() {
                let versions = head.history.iter().map(|entry| entry.stamp.version);
                return Err(Refusal::NoVersion(*version, versions.collect()));
            }
            let target = require_snapshot(snapshots.rollback_target.as_ref())?;
            Ok((target.config.clone(), target.preset.clone()))
        }
    }
}

/// Returns the initial preset: [`DEFAULT_PRESET`] if it is declared, else the first by name.
fn initial_preset(config: &Config) -> Option<id::Preset> {
    let mut names = config.presets.keys();
    let default = names.clone().find(|name| name.as_str() == DEFAULT_PRESET);
    default.or_else(|| names.next()).cloned()
}

/// Returns the stored snapshot.
///
/// # Errors
///
/// Returns a [`Refusal`] if there is none or it cannot be read.
fn require_snapshot(snapshot: Option<&Result<Snapshot, String>>) -> Result<&Snapshot, Refusal> {
    match snapshot {
        Some(Ok(snapshot)) => Ok(snapshot),
        Some(Err(reason)) => Err(Refusal::Unreadable(reason.clone())),
        None => Err(Refusal::Empty),
    }
}

/// Validates the configuration under the snapshot's preset; the overrides of the other presets are
/// validated as well. Rejects the placeholder for redacted secrets, which would replace the secret.
fn validate(snapshot: &Snapshot) -> Result<(), Refusal> {
    let mut violations = check(&snapshot.config, &snapshot.preset);
    for (name, secret) in &snapshot.config.secrets {
        if secret.value.reveal() == REDACTED {
            violations.push(Violation {
                object: format!("secrets/{name}"),
                message: format!(
                    "the value is `{REDACTED}`, the placeholder that `get` prints for a secret"
                ),
            });
        }
    }
    if violations.is_empty() {
        Ok(())
    } else {
        Err(Refusal::Violations(violations))
    }
}

/// Packs the delta from the current snapshot to `snapshot`; `None` if there is no readable current
/// snapshot or the delta does not fit into one part.
fn delta(snapshots: &Snapshots, snapshot: &Snapshot) -> Option<Part> {
    let current = snapshots.current.as_ref()?.as_ref().ok()?;
    let mut parts = part::pack(&Delta::between(current, snapshot));
    if parts.len() > 1 {
        return None;
    }
    parts.pop()
}
