//! Commands that change what is in force.

use cicadagw_accept::diff::{self, Difference};
use cicadagw_accept::{Intent, Outcome, Refusal, Request, StoredHead, load, run};
use cicadagw_config::head::Entry;
use cicadagw_config::{Config, Snapshot};
use cicadagw_platform::Store;
use cicadagw_unit::{Version, id};
use serde_json::json;

use crate::{Answer, Exit, Failure, show};

/// Returns a change id that nobody else has.
pub fn fresh_id() -> id::Change {
    format!("{:016x}", rand::random::<u64>())
        .parse()
        .expect("hexadecimal digits are a change id")
}

/// Puts a configuration in force and shows what it changes.
///
/// The differences are those to the version that the change starts from: where the operator names
/// none, it is the one in force now.
///
/// # Errors
///
/// When the change does not come into force, with the reason.
pub async fn apply<S: Store>(store: &S, mut request: Request) -> Result<Answer, Failure> {
    let Intent::Apply { config, preset } = &request.intent else {
        return submit(store, request, Vec::new()).await;
    };
    let found = cicadagw_accept::head(store).await?;
    let differences = differences(store, found.as_ref(), config, preset.as_ref()).await?;
    let newest = found.map_or(Version::default(), |found| found.head.version());
    request.base = request.base.or(Some(newest));
    submit(store, request, differences).await
}

/// Puts a preset or an earlier content in force.
///
/// # Errors
///
/// When the change does not come into force, with the reason.
pub async fn switch<S: Store>(store: &S, request: Request) -> Result<Answer, Failure> {
    submit(store, request, Vec::new()).await
}

/// Returns what `config` changes; all of it is new where nothing readable is in force.
async fn differences<S: Store>(
    store: &S,
    found: Option<&StoredHead>,
    config: &Config,
    preset: Option<&id::Preset>,
) -> Result<Vec<Difference>, Failure> {
    let Some(found) = found else {
        return Ok(diff::configs(&Config::default(), config));
    };
    let newest = match load(store, found.head.newest()).await {
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

async fn submit<S: Store>(
    store: &S,
    request: Request,
    mut differences: Vec<Difference>,
) -> Result<Answer, Failure> {
    let change = request.change.clone();
    let (word, entry) = match run(store, request).await {
        Outcome::Accepted(entry) => ("accepted", entry),
        Outcome::Known(entry) => {
            // They are those to what is in force now, which this change did not start from.
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
        "outcome": word,
        "version": entry.stamp.version,
        "change": entry.change,
        "preset": entry.preset,
        "differences": differences,
    });
    let mut lines = vec![show::differences(&differences)];
    lines.retain(|line| !line.is_empty());
    lines.push(told(word, &entry));
    Ok(Answer {
        json,
        text: lines.join("\n"),
    })
}

fn told(word: &str, entry: &Entry) -> String {
    let Entry { change, preset, .. } = entry;
    let version = entry.stamp.version;
    match word {
        "trial" => format!("would be version {version} with preset {preset}; nothing was changed"),
        "known" => format!("change {change} was accepted before as version {version}"),
        _ => format!(
            "accepted as version {version} with preset {preset} (change {change})\n\
             follow it with `cicadactl status --wait {version}`"
        ),
    }
}

fn conflict(winner: Option<&Entry>) -> Failure {
    let message = match winner {
        Some(Entry {
            change,
            operator,
            stamp,
            ..
        }) => format!(
            "another change came first: version {} by {operator} (change {change})",
            stamp.version
        ),
        None => "another version is in force than the one this change starts from".to_owned(),
    };
    Failure::new(
        Exit::Conflict,
        message,
        "nothing of this change took effect; look at the other one with `cicadactl history` and \
         `cicadactl get`, then try again",
    )
}

fn refused(refusal: &Refusal) -> Failure {
    let help = match refusal {
        Refusal::Faults(_) | Refusal::NoPreset => {
            "mend the configuration, or name a declared preset with --preset".to_owned()
        }
        Refusal::Reused(_) => "leave --change out for a new change".to_owned(),
        Refusal::Empty => "put a configuration in force with `cicadactl apply FILE`".to_owned(),
        Refusal::NoVersion(_, versions) => format!("the history holds {}", range(versions)),
        Refusal::Unreadable(_) => {
            "apply a whole configuration with `cicadactl apply FILE`".to_owned()
        }
        Refusal::UnknownPreset(_, presets) => {
            let names: Vec<&str> = presets.iter().map(id::Preset::as_str).collect();
            format!("declared are {}", names.join(", "))
        }
    };
    Failure::new(
        Exit::Refused,
        refusal.to_string(),
        format!("{help}; nothing was changed"),
    )
}

fn range(versions: &[Version]) -> String {
    match (versions.last(), versions.first()) {
        (Some(oldest), Some(newest)) => format!("versions {oldest} to {newest}"),
        _ => "no version".to_owned(),
    }
}

fn unavailable(reason: &str, change: &id::Change) -> Failure {
    Failure::new(
        Exit::Unavailable,
        reason,
        format!("nothing was changed; try again with --change {change} when the platform is back"),
    )
}

fn unknown(reason: &str, change: &id::Change) -> Failure {
    Failure::new(
        Exit::Unknown,
        format!("the change may or may not be accepted: {reason}"),
        format!(
            "run the same command with --change {change}: it takes effect once at most, and the \
             answer tells its version"
        ),
    )
}
