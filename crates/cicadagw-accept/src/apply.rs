//! Executes the effects of a session on a store.

use std::collections::VecDeque;

use bytes::Bytes;
use cicadagw_config::head::Entry;
use cicadagw_config::{Head, Snapshot};
use cicadagw_platform::{Condition, Error, Key, Store};

use crate::{Effect, Event, Outcome, Refusal, Request, Session, Snapshots, parts, read};

/// Applies a change to the configuration in `store` and returns the outcome.
pub async fn apply_change<S: Store>(store: &S, request: Request) -> Outcome {
    let (mut session, effects) = Session::new(request);
    let mut effects = VecDeque::from(effects);
    while let Some(effect) = effects.pop_front() {
        let event = match execute(store, effect).await {
            Completion::Event(event) => event,
            Completion::Continue => continue,
            Completion::End(outcome) => return outcome,
        };
        effects.extend(session.step(event));
    }
    Outcome::Unknown(
        "internal error: the session stopped before the change had an outcome".to_owned(),
    )
}

/// What an executed effect leads to.
enum Completion {
    /// An event, to be applied to the session.
    Event(Event),
    /// The next effect.
    Continue,
    /// The end of the session.
    End(Outcome),
}

async fn execute<S: Store>(store: &S, effect: Effect) -> Completion {
    match effect {
        Effect::ReadHead => match read::read_head(store).await {
            Ok(found) => Completion::Event(Event::Head(found)),
            Err(read::Error::Platform(error)) => unavailable(&error),
            Err(read::Error::Content(reason)) => {
                Completion::End(Outcome::Refused(Refusal::Unreadable(reason)))
            }
        },
        Effect::LoadSnapshots {
            current,
            rollback_target,
        } => match load_snapshots(store, current, rollback_target).await {
            Ok(snapshots) => Completion::Event(Event::Loaded(Box::new(snapshots))),
            Err(error) => unavailable(&error),
        },
        Effect::WriteParts(parts) => match parts::write(store, &parts).await {
            Ok(()) => Completion::Event(Event::Written),
            Err(Error::Unknown(reason)) => Completion::Event(Event::Lost(reason)),
            Err(error @ Error::Restored) => Completion::Event(Event::Lost(error.to_string())),
            Err(error) => unavailable(&error),
        },
        Effect::UpdateHead { head, condition } => update_head(store, &head, condition).await,
        Effect::BackOff(span) => {
            tokio::time::sleep(span.into()).await;
            Completion::Continue
        }
        Effect::CollectGarbage { parts, evicted } => {
            // The change is accepted even if this fails. The parts that remain are not referenced;
            // they are removed only if a later entry with the same parts leaves the history.
            if let Err(error) = parts::collect_garbage(store, &parts, evicted.as_ref()).await {
                log::warn!(error:%; "failed to remove configuration parts that the history no longer references");
            }
            Completion::Continue
        }
        Effect::End(outcome) => Completion::End(outcome),
    }
}

/// Updates the head on `condition`, and returns the event for the result.
async fn update_head<S: Store>(store: &S, head: &Head, condition: Condition) -> Completion {
    let value = serde_json::to_vec(head).expect("a head serializes to JSON");
    let result = store.put(&Key::head(), Bytes::from(value), condition).await;
    match result {
        Ok(_) => Completion::Event(Event::HeadUpdated),
        Err(Error::Conflict) => Completion::Event(Event::Conflict),
        Err(Error::Unknown(reason)) => Completion::Event(Event::Lost(reason)),
        Err(error @ Error::Restored) => Completion::Event(Event::Lost(error.to_string())),
        Err(error @ (Error::Compacted | Error::Unavailable(_) | Error::Refused(_))) => {
            unavailable(&error)
        }
    }
}

/// Reads the snapshots of the given entries.
async fn load_snapshots<S: Store>(
    store: &S,
    current: Option<Entry>,
    rollback_target: Option<Entry>,
) -> Result<Snapshots, Error> {
    Ok(Snapshots {
        current: try_load_snapshot(store, current).await?,
        rollback_target: try_load_snapshot(store, rollback_target).await?,
    })
}

/// Reads the snapshot of `entry`; `None` without an entry. The inner `Err` holds the reason why the
/// stored snapshot is missing or invalid.
async fn try_load_snapshot<S: Store>(
    store: &S,
    entry: Option<Entry>,
) -> Result<Option<Result<Snapshot, String>>, Error> {
    let Some(entry) = entry else {
        return Ok(None);
    };
    match read::load_snapshot(store, &entry).await {
        Ok(snapshot) => Ok(Some(Ok(snapshot))),
        Err(read::Error::Content(reason)) => Ok(Some(Err(reason))),
        Err(read::Error::Platform(error)) => Err(error),
    }
}

/// Returns the event for a request that the platform did not execute.
fn unavailable(error: &Error) -> Completion {
    Completion::Event(Event::Unavailable(error.to_string()))
}
