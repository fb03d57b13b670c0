//! A stand-in of the platform's metadata store, with the drill in which it comes back from a copy.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, json_response};
use crate::json::{Value, quote};

const OBJECTS: &str = "/cicadagw/objects/";

/// The revision before the first change.
const FIRST_REVISION: u64 = 100;

#[derive(Clone, Debug)]
struct Object {
    created: u64,
    revision: u64,
    spec: String,
    status: String,
}

/// A change: its revision, the kind, name and object, and whether it deleted the object.
#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    object: Object,
    is_deleted: bool,
}

/// What a copy of the store contains.
#[derive(Clone, Debug, Default)]
pub struct Data {
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    revision: u64,
}

struct State {
    data: Data,
    era: u64,
    is_away: bool,
    streams: Vec<TcpStream>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let store = Arc::new(Self {
            state: Mutex::new(State {
                data: Data {
                    revision: FIRST_REVISION,
                    ..Data::default()
                },
                era: 1,
                is_away: false,
                streams: Vec::new(),
            }),
            changed: Condvar::new(),
            address: listener.local_addr().expect("the listener has an address"),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                {
                    let mut state = store.state.lock().unwrap();
                    if state.is_away {
                        stream.shutdown(Shutdown::Both).ok();
                        continue;
                    }
                    state.streams.retain(|open| open.peer_addr().is_ok());
                    state.streams.extend(stream.try_clone());
                }
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator does; returns the revision.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = state
            .data
            .put(kind, name, |object| object.spec = spec.to_owned());
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Returns a copy of everything.
    pub fn copy(&self) -> Data {
        self.state.lock().unwrap().data.clone()
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().data.revision
    }

    /// Makes the store unreachable: open connections end, and new ones are closed at once.
    pub fn go_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_away = true;
        for stream in state.streams.drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Comes back from `copy`, and then writes these objects again.
    pub fn come_back(&self, copy: Data, again: &[(&str, &str, String)]) {
        let mut state = self.state.lock().unwrap();
        state.data = copy;
        state.era += 1;
        for (kind, name, spec) in again {
            state
                .data
                .put(kind, name, |object| object.spec.clone_from(spec));
        }
        state.is_away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.request() {
            let Some((status, body)) = self.answer(&request) else {
                connection.stream.shutdown(Shutdown::Both).ok();
                return;
            };
            let era = self.state.lock().unwrap().era;
            if connection
                .write(&json_response(status, Some(era), &body))
                .is_err()
            {
                return;
            }
        }
    }

    /// Carries out a call; `None` if the store went away meanwhile.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        let target = request.start.get(1)?.clone();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(rest) = path.strip_prefix(OBJECTS) else {
            return Some((404, "{}".to_owned()));
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let argument = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == wanted)
                .map(|(_, value)| value.to_owned())
        };
        let body = Value::parse(&request.text()).unwrap_or(Value::Null);
        let metadata = body.get("metadata");
        let expected = metadata
            .and_then(|metadata| metadata.get("revision"))
            .and_then(Value::number)
            .or_else(|| argument("revision")?.parse().ok());
        let spec = body.get("spec").map_or("null".to_owned(), Value::render);
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return None;
        }
        let answer = match (request.start[0].as_str(), name) {
            ("GET", None) => {
                if let Some(after) = argument("watch").and_then(|text| text.parse().ok()) {
                    drop(state);
                    let wait = argument("waitMs").and_then(|text| text.parse().ok());
                    return self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0)));
                }
                (
                    200,
                    state
                        .data
                        .list(kind, &argument("after").unwrap_or_default()),
                )
            }
            ("GET", Some(name)) => state.data.get(kind, name),
            ("POST", None) => {
                let name = metadata
                    .and_then(|metadata| metadata.get("name"))
                    .and_then(Value::text)?
                    .to_owned();
                match state.data.get(kind, &name) {
                    (200, existing) => (409, existing),
                    _ => {
                        state.data.put(kind, &name, |object| object.spec = spec);
                        (201, state.data.get(kind, &name).1)
                    }
                }
            }
            ("PUT", Some(path)) => {
                let (name, is_status) = match path.strip_suffix("/status") {
                    Some(name) => (name, true),
                    None => (path, false),
                };
                let value = if is_status {
                    body.get("status").map_or("null".to_owned(), Value::render)
                } else {
                    spec
                };
                state.data.replace(kind, name, expected, is_status, value)
            }
            ("DELETE", Some(name)) => state.data.delete(kind, name, expected),
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.is_away {
                return None;
            }
            // The store does not have a revision that it has not given out yet.
            if after > state.data.revision {
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = state
                .data
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| {
                    let object = event.object.render(&event.name);
                    format!("{{\"deleted\":{},\"object\":{object}}}", event.is_deleted)
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"atRev\":{}}}",
                    events.join(","),
                    state.data.revision
                );
                return Some((200, body));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl Data {
    fn put(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = self.objects.entry(key).or_insert_with(|| Object {
            created: revision,
            revision,
            spec: "null".to_owned(),
            status: "null".to_owned(),
        });
        object.revision = revision;
        change(object);
        let event = Event {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: object.clone(),
            is_deleted: false,
        };
        self.events.push(event);
        revision
    }

    fn replace(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        is_status: bool,
        value: String,
    ) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.get(&key) else {
            return (404, "{}".to_owned());
        };
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, object.render(name));
        }
        let current = if is_status {
            &object.status
        } else {
            &object.spec
        };
        if *current != value {
            self.put(kind, name, |object| {
                *(if is_status {
                    &mut object.status
                } else {
                    &mut object.spec
                }) = value;
            });
        }
        self.get(kind, name)
    }

    fn delete(&mut self, kind: &str, name: &str, expected: Option<u64>) -> (u16, String) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = self.objects.get(&key) else {
            return (404, "{}".to_owned());
        };
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, object.render(name));
        }
        let object = object.clone();
        self.objects.remove(&key);
        self.revision += 1;
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            is_deleted: true,
        });
        (200, "{}".to_owned())
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.render(name)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let items: Vec<String> = self
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| object.render(name))
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"atRev\":{}}}",
            items.join(","),
            self.revision
        )
    }
}

impl Object {
    fn render(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"createdRev\":{},\"finalizers\":[],\"deletionPending\":false}},\"spec\":{},\"status\":{}}}",
            quote(name),
            self.revision,
            self.created,
            self.spec,
            self.status
        )
    }
}
