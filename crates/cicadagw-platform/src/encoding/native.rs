//! The native object API, described in `docs/PLATFORM.md`.

use bytes::Bytes;
use cicadagw_unit::time::Span;
use smallvec::smallvec;

use super::interface::Encoding;
use super::message::{Effect, Listing, Method, Request, Response};
use super::{path, tag};
use crate::{Changes, Condition, Error, Freshness, Key, Object, Position, Revision};

/// The encoding of the native object API.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Encoding for Native {
    fn get(&self, key: &Key) -> Request {
        Request::read(path::object(key))
    }

    fn object(&self, key: &Key, response: &Response) -> Result<Option<Object>, Error> {
        match response.status {
            200 => object(key, response).map(Some),
            404 => Ok(None),
            _ => Err(error(response, Effect::Read)),
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

    fn written(&self, response: &Response) -> Result<Revision, Error> {
        match response.status {
            200 => revision(response, Effect::Write),
            _ => Err(error(response, Effect::Write)),
        }
    }

    fn watch(&self, key: &Key, after: Revision, wait: Span) -> Request {
        Request::read(path::watch(key, after, wait))
    }

    fn check(&self, key: &Key, after: Revision) -> Request {
        self.watch(key, after, Span::new(0))
    }

    fn position(&self, key: &Key, after: Revision, response: &Response) -> Result<Position, Error> {
        match response.status {
            200 => {
                let object = object(key, response)?;
                Ok(Position {
                    at: object.revision,
                    object: Some(object),
                })
            }
            304 => Ok(Position {
                at: after,
                object: None,
            }),
            _ => Err(error(response, Effect::Read)),
        }
    }

    fn objects(&self, prefix: &str, _: Option<&Key>, _: Freshness) -> Request {
        Request::read(path::keys(prefix))
    }

    /// Decodes a list of keys; the objects have no revisions and values, because this API does not
    /// list them.
    fn listed(&self, _: &str, response: &Response) -> Result<Listing, Error> {
        if response.status != 200 {
            return Err(error(response, Effect::Read));
        }
        let keys: Vec<Key> = serde_json::from_slice(&response.body)
            .map_err(|error| Error::Unavailable(error.to_string()))?;
        let objects = keys.into_iter().map(|key| Object {
            key,
            revision: Revision::default(),
            value: Bytes::new(),
        });
        Ok(Listing {
            objects: objects.collect(),
            ..Listing::default()
        })
    }

    fn tracked(&self, _: &str, _: Option<(Revision, Span)>) -> Option<Request> {
        None
    }

    fn changes(&self, _: &str, response: &Response) -> Result<Changes, Error> {
        Err(response.error(Effect::Read))
    }

    fn put_status(&self, _: &Key, _: &Bytes, _: Revision) -> Option<Request> {
        None
    }

    fn delete(&self, key: &Key) -> Request {
        Request {
            method: Method::Delete,
            ..Request::read(path::object(key))
        }
    }

    fn deleted(&self, response: &Response) -> Result<(), Error> {
        match response.status {
            200 | 204 | 404 => Ok(()),
            _ => Err(error(response, Effect::Write)),
        }
    }
}

/// Returns the error that `response` to a call with `effect` reports.
fn error(response: &Response, effect: Effect) -> Error {
    if response.status == 412 {
        return Error::Conflict;
    }
    response.error(effect)
}

/// Returns the object in `response`.
fn object(key: &Key, response: &Response) -> Result<Object, Error> {
    Ok(Object {
        key: key.clone(),
        revision: revision(response, Effect::Read)?,
        value: response.body.clone(),
    })
}

/// Returns the revision that the response to a call with `effect` must carry in its entity tag.
fn revision(response: &Response, effect: Effect) -> Result<Revision, Error> {
    let revision = response.tag.as_deref().and_then(tag::parse);
    revision.ok_or_else(|| {
        effect.lost("the response has no valid revision in its entity tag".to_owned())
    })
}
