//! Commands that change the active configuration.

use cicadagw_accept::diff::{self, Difference};
use cicadagw_accept::{Intent, Outcome, Refusal, Request, StoredHead, apply_change, load_snapshot};
use cicadagw_config::head::Entry;
use cicadagw_config::{Config, Snapshot};
use cicadagw_platform::Store;
use cicadagw_unit::{Version, id};
use serde_json::json;

use crate::{Exit, Failure, Output, show};

/// Returns a new change id: 64 random bits, which make a collision practically
/// impossible.
pub fn random_id() -> id::Change {
    format!("{:016x}", rand::random::<u64>())
        .parse()
        .expect("hexadecimal digits are a valid change id")
}

/// Applies a configuration and shows what it changes.
///
/// The differences are those to the version that the change is based on; unless the operator names
/// one, that is the version active now.
///
/// # Errors
///
/// Fails if the change is not accepted, with the reason.
pub async fn apply<S: Store>(store: &S, mut request: Request) -> Result<Output, Failure> {
    let Intent::Apply { config, preset } = &request.intent else {
        return submit(store, request, Vec::new()).await;
    };
    let stored = cicadagw_accept::read_head(store).await?;
    let differences = differences(store, stored.as_ref(), config, preset.as_ref()).await?;
    let newest = stored.map_or(Version::default(), |stored| stored.head.version());
    request.base = request.base.or(Some(newest));
    submit(store, request, differences).await
}

/// Activates a preset or the content of an earlier version.
///
/// # Errors
///
/// Fails if the change is not accepted, with the reason.
pub async fn activate<S: Store>(store: &S, request: Request) -> Result<Output, Failure> {
    submit(store, request, Vec::new()).await
}

/// Returns the differences of `config` to the active configuration, or to an empty one if there
/// is none that can be read.
async fn differences<S: Store>(
    store: &S,
    stored: Option<&StoredHead>,
    config: &Config,
    preset: Option<&id::Preset>,
) -> Result<Vec<Difference>, Failure> {
    let Some(stored) = stored else {
        return Ok(diff::configs(&Config::default(), config));
    };
    let newest = match load_snapshot(store, stored.head.newest()).await {
        Ok(snapshot) => snapshot,
        Err(cicadagw_accept::Error::Content(_)) => {
            return Ok(diff::configs(&Config::default(), config));
        }
        Err(error) => return Err(error.into()),
    };
    let preset = preset.unwrap_or(&newest.preset).clone();
    let next = Snapshot::new(newest.stamp.version.next(), preset, config.clone());
    Ok(diff::snapshots(&newest, &next))
}

/// Requests the change and describes its outcome, with the `differences` if it is accepted.
async fn submit<S: Store>(
    store: &S,
    request: Request,
    mut differences: Vec<Difference>,
) -> Result<Output, Failure> {
    let change = request.change.clone();
    let (outcome, entry) = match apply_change(store, request).await {
        Outcome::Accepted(entry) => ("accepted", entry),
        Outcome::Known(entry) => {
            // The differences are to the version active now, but this change was based on an
            // earlier one.
            differences.clear();
            ("known", entry)
        }
        Outcome::Trial(entry) => ("trial", entry),
        Outcome::Conflict(winner) => return Err(conflict(winner.as_ref())),
        Outcome::Refused(refusal) => return Err(refused(&refusal)),
        Outcome::Unavailable(reason) => return Err(unavailable(&reason, &change)),
        Outcome::Unknown(reason) => return Err(unknown(&reason, &change)),
    };
    let json = json!({
        "outcome": outcome,
        "version": entry.stamp.version,
        "change": entry.change,
        "preset": entry.preset,
        "differences": differences,
    });
    let mut lines = vec![show::differences(&differences)];
    lines.retain(|line| !line.is_empty());
    lines.push(accepted_text(outcome, &entry));
    Ok(Output {
        json,
        text: lines.join("\n"),
    })
}

/// Returns the human-readable text about a change with this outcome.
fn accepted_text(outcome: &str, entry: &Entry) -> String {
    let Entry { change, preset, .. } = entry;
    let version = entry.stamp.version;
    match outcome {
        "trial" => format!("would be version {version} with preset {preset}; nothing was changed"),
        "known" => format!("change {change} was accepted before as version {version}"),
        _ => format!(
            "accepted as version {version} with preset {preset} (change {change})\n\
             follow it with `cicadactl status --wait {version}`"
        ),
    }
}

/// Returns the failure of a change that is not based on the active version. `winner` is the change
/// that was accepted first, if it is known.
fn conflict(winner: Option<&Entry>) -> Failure {
    let message = match winner {
        Some(Entry {
            change,
            operator,
            stamp,
            ..
        }) => format!(
            "another change was accepted first: version {} by {operator} (change {change})",
            stamp.version
        ),
        None => "the active version is not the one that this change is based on".to_owned(),
    };
    Failure::new(
        Exit::Conflict,
        message,
        "this change had no effect; look at the other one with `cicadactl history` and \
         `cicadactl get`, then try again",
    )
}

/// Returns the failure of a change that was refused.
fn refused(refusal: &Refusal) -> Failure {
    let help = match refusal {
        Refusal::Violations(_) | Refusal::NoPreset => {
            "fix the configuration, or name a declared preset with --preset".to_owned()
        }
        Refusal::Reused(_) => "leave --change out for a new change".to_owned(),
        Refusal::Empty => "activate a configuration with `cicadactl apply FILE`".to_owned(),
        Refusal::NoVersion(_, versions) => format!("the history holds {}", range(versions)),
        Refusal::Unreadable(_) => {
            "apply a complete configuration with `cicadactl apply FILE`".to_owned()
        }
        Refusal::UnknownPreset(_, presets) => {
            let names: Vec<&str> = presets.iter().map(id::Preset::as_str).collect();
            format!("the declared presets are {}", names.join(", "))
        }
    };
    Failure::new(
        Exit::Refused,
        refusal.to_string(),
        format!("{help}; nothing was changed"),
    )
}

/// Describes the versions of the history, which lists the newest first.
fn range(versions: &[Version]) -> String {
    match (versions.last(), versions.first()) {
        (Some(oldest), Some(newest)) => format!("versions {oldest} to {newest}"),
        _ => "no version".to_owned(),
    }
}

/// Returns the failure of a change that was not sent or not accepted because the platform is
/// unavailable.
fn unavailable(reason: &str, change: &id::Change) -> Failure {
    Failure::new(
        Exit::Unavailable,
        reason,
        format!("nothing was changed; retry with --change {change} when the platform is available"),
    )
}

/// Returns the failure of a change whose response was lost.
fn unknown(reason: &str, change: &id::Change) -> Failure {
    Failure::new(
        Exit::Unknown,
        format!("the change may or may not have been accepted: {reason}"),
        format!(
            "run the same command again with --change {change}: the change takes effect at most \
             once, and the output shows its version"
        ),
    )
}
