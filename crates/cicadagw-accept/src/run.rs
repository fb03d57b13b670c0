//! Execution of a session's effects on a store.

use std::collections::VecDeque;

use bytes::Bytes;
use cicadagw_config::head::Entry;
use cicadagw_config::{Head, Snapshot};
use cicadagw_platform::{Condition, Error, Key, Store};

use crate::{Base, Effect, Event, Outcome, Refusal, Request, Session, parts, read};

/// Accepts a change on `store` and returns the outcome.
pub async fn run<S: Store>(store: &S, request: Request) -> Outcome {
    let (mut session, effects) = Session::new(request);
    let mut effects = VecDeque::from(effects);
    while let Some(effect) = effects.pop_front() {
        let event = match perform(store, effect).await {
            Completion::Event(event) => event,
            Completion::Nothing => continue,
            Completion::End(outcome) => return outcome,
        };
        effects.extend(session.step(event));
    }
    Outcome::Unknown("the acceptance ended without an outcome".to_owned())
}

/// What follows the execution of an effect.
enum Completion {
    Event(Event),
    Nothing,
    End(Outcome),
}

async fn perform<S: Store>(store: &S, effect: Effect) -> Completion {
    match effect {
        Effect::ReadHead => match read::head(store).await {
            Ok(found) => Completion::Event(Event::Head(found)),
            Err(read::Error::Platform(error)) => unavailable(&error),
            Err(read::Error::Content(reason)) => {
                Completion::End(Outcome::Refused(Refusal::Unreadable(reason)))
            }
        },
        Effect::LoadContents {
            current,
            rollback_target,
        } => match contents(store, current, rollback_target).await {
            Ok(base) => Completion::Event(Event::Loaded(Box::new(base))),
            Err(error) => unavailable(&error),
        },
        Effect::WriteParts(parts) => match parts::write(store, &parts).await {
            Ok(()) => Completion::Event(Event::Written),
            Err(Error::Unknown(reason)) => Completion::Event(Event::Lost(reason)),
            Err(error) => unavailable(&error),
        },
        Effect::UpdateHead { head, condition } => update_head(store, &head, condition).await,
        Effect::BackOff(span) => {
            tokio::time::sleep(span.into()).await;
            Completion::Nothing
        }
        Effect::CollectGarbage { parts, evicted } => {
            // The change is accepted even if this fails; the next change collects the garbage
            // again.
            if let Err(error) = parts::collect_garbage(store, &parts, evicted.as_ref()).await {
                log::warn!(error:%; "failed to remove configuration parts that the history no longer references");
            }
            Completion::Nothing
        }
        Effect::End(outcome) => Completion::End(outcome),
    }
}

async fn update_head<S: Store>(store: &S, head: &Head, condition: Condition) -> Completion {
    let value = serde_json::to_vec(head).expect("a head serializes to JSON");
    let result = store.put(&Key::head(), Bytes::from(value), condition).await;
    match result {
        Ok(_) => Completion::Event(Event::HeadUpdated),
        Err(Error::Conflict) => Completion::Event(Event::Conflict),
        Err(Error::Unknown(reason)) => Completion::Event(Event::Lost(reason)),
        Err(error @ (Error::Compacted | Error::Unavailable(_) | Error::Refused(_))) => {
            unavailable(&error)
        }
    }
}

async fn contents<S: Store>(
    store: &S,
    current: Option<Entry>,
    rollback_target: Option<Entry>,
) -> Result<Base, Error> {
    Ok(Base {
        current: content(store, current).await?,
        rollback_target: content(store, rollback_target).await?,
    })
}

async fn content<S: Store>(
    store: &S,
    entry: Option<Entry>,
) -> Result<Option<Result<Snapshot, String>>, Error> {
    let Some(entry) = entry else {
        return Ok(None);
    };
    match read::load(store, &entry).await {
        Ok(snapshot) => Ok(Some(Ok(snapshot))),
        Err(read::Error::Content(reason)) => Ok(Some(Err(reason))),
        Err(read::Error::Platform(error)) => Err(error),
    }
}

fn unavailable(error: &Error) -> Completion {
    Completion::Event(Event::Unavailable(error.to_string()))
}
