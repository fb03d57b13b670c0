//! Carrying out of an acceptance on a store.

use std::collections::VecDeque;

use bytes::Bytes;
use cicadagw_config::head::Entry;
use cicadagw_config::{Head, Snapshot};
use cicadagw_platform::{Condition, Error, Key, Store};

use crate::{Base, Effect, Event, Outcome, Refusal, Request, Session, read, tidy};

/// Accepts a change, and tells what became of it.
pub async fn run<S: Store>(store: &S, request: Request) -> Outcome {
    let (mut session, effects) = Session::new(request);
    let mut effects = VecDeque::from(effects);
    while let Some(effect) = effects.pop_front() {
        let event = match perform(store, effect).await {
            Next::Event(event) => event,
            Next::Nothing => continue,
            Next::End(outcome) => return outcome,
        };
        effects.extend(session.step(event));
    }
    Outcome::Unknown("the acceptance ended without an outcome".to_owned())
}

/// What an effect led to.
enum Next {
    Event(Event),
    Nothing,
    End(Outcome),
}

async fn perform<S: Store>(store: &S, effect: Effect) -> Next {
    match effect {
        Effect::ReadHead => match read::head(store).await {
            Ok(found) => Next::Event(Event::Head(found)),
            Err(read::Error::Platform(error)) => unavailable(&error),
            Err(read::Error::Content(reason)) => {
                Next::End(Outcome::Refused(Refusal::Unreadable(reason)))
            }
        },
        Effect::LoadContents { newest, old } => match contents(store, newest, old).await {
            Ok(base) => Next::Event(Event::Loaded(Box::new(base))),
            Err(error) => unavailable(&error),
        },
        Effect::WriteParts(parts) => match tidy::write(store, &parts).await {
            Ok(()) => Next::Event(Event::Written),
            Err(Error::Unknown(reason)) => Next::Event(Event::Lost(reason)),
            Err(error) => unavailable(&error),
        },
        Effect::MoveHead { head, condition } => move_head(store, &head, condition).await,
        Effect::Pause(span) => {
            tokio::time::sleep(span.into()).await;
            Next::Nothing
        }
        Effect::Tidy { parts, dropped } => {
            // The change is accepted whatever becomes of this; the next one tidies again.
            if let Err(error) = tidy::tidy(store, &parts, dropped.as_ref()).await {
                log::warn!(error:%; "parts of earlier contents were not tidied up");
            }
            Next::Nothing
        }
        Effect::End(outcome) => Next::End(outcome),
    }
}

async fn move_head<S: Store>(store: &S, head: &Head, condition: Condition) -> Next {
    let value = serde_json::to_vec(head).expect("a head can be written as JSON");
    let answer = store.put(&Key::head(), Bytes::from(value), condition).await;
    match answer {
        Ok(_) => Next::Event(Event::Moved),
        Err(Error::Conflict) => Next::Event(Event::Conflict),
        Err(Error::Unknown(reason)) => Next::Event(Event::Lost(reason)),
        Err(error @ (Error::Compacted | Error::Unavailable(_) | Error::Refused(_))) => {
            unavailable(&error)
        }
    }
}

async fn contents<S: Store>(
    store: &S,
    newest: Option<Entry>,
    old: Option<Entry>,
) -> Result<Base, Error> {
    Ok(Base {
        newest: content(store, newest).await?,
        old: content(store, old).await?,
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

fn unavailable(error: &Error) -> Next {
    Next::Event(Event::Unavailable(error.to_string()))
}
