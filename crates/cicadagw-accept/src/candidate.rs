//! Candidates: what a change would put in force.

use cicadagw_config::head::Entry;
use cicadagw_config::part::{self, Part};
use cicadagw_config::{Config, Delta, Head, Snapshot, Violation, check};
use cicadagw_unit::{Version, id};

use crate::diff::REDACTED;
use crate::request::find;
use crate::{Intent, Refusal, Request};

/// The preset that is in force after the first change, where it is declared and none is named.
const ORDINARY: &str = "ordinary";

/// What a change builds on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Base {
    /// The snapshot in force, or why it cannot be read; `None` when there is none.
    pub newest: Option<Result<Snapshot, String>>,
    /// The snapshot that a rollback returns to, or why it cannot be read.
    pub old: Option<Result<Snapshot, String>>,
}

/// What a change would put in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The head that names it.
    pub head: Head,
    /// The parts that the head's new entry names.
    pub parts: Vec<Part>,
}

impl Candidate {
    /// Builds what `request` would put in force on top of `head`.
    ///
    /// # Errors
    ///
    /// When the change is wrong.
    pub fn build(request: &Request, head: Option<&Head>, base: &Base) -> Result<Self, Refusal> {
        let version = head.map_or(Version::default(), Head::version).next();
        let (config, preset) = content(&request.intent, head, base)?;
        let snapshot = Snapshot::new(version, preset, config);
        check_whole(&snapshot)?;
        let mut parts = part::pack(&snapshot.config);
        let digests = parts.iter().map(|part| part.digest).collect();
        let delta = delta(base, &snapshot);
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

/// Returns the new configuration and the preset to be in force.
fn content(
    intent: &Intent,
    head: Option<&Head>,
    base: &Base,
) -> Result<(Config, id::Preset), Refusal> {
    match intent {
        Intent::Apply { config, preset } => {
            let in_force = head.map(|head| head.newest().preset.clone());
            let preset = preset.clone().or(in_force).or_else(|| first(config));
            Ok(((**config).clone(), preset.ok_or(Refusal::NoPreset)?))
        }
        Intent::Preset(preset) => {
            let config = readable(base.newest.as_ref())?.config.clone();
            if config.presets.contains_key(preset) {
                return Ok((config, preset.clone()));
            }
            let declared = config.presets.into_keys().collect();
            Err(Refusal::UnknownPreset(preset.clone(), declared))
        }
        Intent::Rollback(version) => {
            let head = head.ok_or(Refusal::Empty)?;
            if find(head, *version).is_none() {
                let versions = head.history.iter().map(|entry| entry.stamp.version);
                return Err(Refusal::NoVersion(*version, versions.collect()));
            }
            let old = readable(base.old.as_ref())?;
            Ok((old.config.clone(), old.preset.clone()))
        }
    }
}

/// Returns the preset to be in force first: the ordinary one, or the first by name.
fn first(config: &Config) -> Option<id::Preset> {
    let mut names = config.presets.keys();
    let ordinary = names.clone().find(|name| name.as_str() == ORDINARY);
    ordinary.or_else(|| names.next()).cloned()
}

fn readable(snapshot: Option<&Result<Snapshot, String>>) -> Result<&Snapshot, Refusal> {
    match snapshot {
        Some(Ok(snapshot)) => Ok(snapshot),
        Some(Err(reason)) => Err(Refusal::Unreadable(reason.clone())),
        None => Err(Refusal::Empty),
    }
}

/// Checks the whole with the preset in force; what the other presets change is checked as well.
fn check_whole(snapshot: &Snapshot) -> Result<(), Refusal> {
    let mut faults = check(&snapshot.config, &snapshot.preset);
    for (name, secret) in &snapshot.config.secrets {
        if secret.value.reveal() == REDACTED {
            faults.push(Violation {
                object: format!("secrets/{name}"),
                message: format!("the value is `{REDACTED}`, which `get` prints in its place"),
            });
        }
    }
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Refusal::Faults(faults))
    }
}

/// Packs what leads from the snapshot in force to `snapshot`, where it fits into one part.
fn delta(base: &Base, snapshot: &Snapshot) -> Option<Part> {
    let newest = base.newest.as_ref()?.as_ref().ok()?;
    let mut parts = part::pack(&Delta::between(newest, snapshot));
    if parts.len() > 1 {
        return None;
    }
    parts.pop()
}
