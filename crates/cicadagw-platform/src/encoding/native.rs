//! The product's own object API; `docs/PLATFORM.md` describes it.

use bytes::Bytes;
use cicadagw_unit::time::Span;
use smallvec::smallvec;

use super::call::{Effect, Method, Request, Response};
use super::edge::Encoding;
use super::{path, tag};
use crate::{Condition, Error, Freshness, Key, Object, Position, Revision};

/// The product's own object API.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Encoding for Native {
    fn get(&self, key: &Key) -> Request {
        Request::read(path::object(key))
    }

    fn object(&self, key: &Key, answer: &Response) -> Result<Option<Object>, Error> {
        match answer.status {
            200 => object(key, answer).map(Some),
            404 => Ok(None),
            _ => Err(error(answer, Effect::Read)),
        }
    }

    fn put(&self, key: &Key, value: &Bytes, condition: Condition) -> Request {
        let fields = match condition {
            Condition::Always => smallvec![],
            Condition::Absent => smallvec![("if-none-match", "*".into())],
            Condition::Revision(revision) => {
                smallvec![("if-match", tag::format(revision).into())]
            }
        };
        Request {
            body: Some(value.clone()),
            fields,
            method: Method::Put,
            path: path::object(key),
        }
    }

    fn written(&self, answer: &Response) -> Result<Revision, Error> {
        match answer.status {
            200 => revision(answer, Effect::Write),
            _ => Err(error(answer, Effect::Write)),
        }
    }

    fn follow(&self, key: &Key, after: Revision, wait: Span) -> Request {
        Request::read(path::watch(key, after, wait))
    }

    fn position(&self, key: &Key, after: Revision, answer: &Response) -> Result<Position, Error> {
        match answer.status {
            200 => {
                let object = object(key, answer)?;
                Ok(Position {
                    at: object.revision,
                    object: Some(object),
                })
            }
            304 => Ok(Position {
                at: after,
                object: None,
            }),
            _ => Err(error(answer, Effect::Read)),
        }
    }

    fn objects(&self, prefix: &str, _: Option<&Key>, _: Freshness) -> Request {
        Request::read(path::keys(prefix))
    }

    /// Reads a list of keys: this API does not list values.
    fn listed(&self, _: &str, answer: &Response) -> Result<(Vec<Object>, bool), Error> {
        if answer.status != 200 {
            return Err(error(answer, Effect::Read));
        }
        let keys: Vec<Key> = serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let objects = keys.into_iter().map(|key| Object {
            key,
            revision: Revision::default(),
            value: Bytes::new(),
        });
        Ok((objects.collect(), false))
    }

    fn delete(&self, key: &Key) -> Request {
        Request {
            method: Method::Delete,
            ..Request::read(path::object(key))
        }
    }

    fn deleted(&self, answer: &Response) -> Result<(), Error> {
        match answer.status {
            200 | 204 | 404 => Ok(()),
            _ => Err(error(answer, Effect::Write)),
        }
    }
}

fn error(answer: &Response, effect: Effect) -> Error {
    if answer.status == 412 {
        return Error::Conflict;
    }
    answer.error(effect)
}

/// Returns the object that `answer` carries.
fn object(key: &Key, answer: &Response) -> Result<Object, Error> {
    Ok(Object {
        key: key.clone(),
        revision: revision(answer, Effect::Read)?,
        value: answer.body.clone(),
    })
}

/// Returns the revision that an answer to a call with `effect` must name.
fn revision(answer: &Response, effect: Effect) -> Result<Revision, Error> {
    let revision = answer.tag.as_deref().and_then(tag::parse);
    revision.ok_or_else(|| effect.lost("an answer without a revision".to_owned()))
}
