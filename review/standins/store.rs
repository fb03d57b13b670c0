//! A stand-in for the platform's metadata store: objects, lists and watches.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};
use crate::json;

const OBJECTS: &str = "/cicadagw/objects/";

/// How long the store keeps the history of changes.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    revision: u64,
    /// The revision up to which the history is gone.
    compacted: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<(Instant, u64, String, String)>,
}

#[derive(Clone)]
struct Object {
    created: u64,
    revision: u64,
    spec: String,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            revision: 100,
            ..State::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr()?,
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        if known.is_some_and(|known| known.spec == spec) {
            return;
        }
        let created = known.map(|known| known.created);
        state.revision += 1;
        let revision = state.revision;
        let object = Object {
            created: created.unwrap_or(revision),
            revision,
            spec: spec.to_owned(),
        };
        let event = format!(
            "{{\"deleted\":false,\"object\":{}}}",
            object_json(name, &object)
        );
        state.objects.insert(key, object);
        state
            .events
            .push((Instant::now(), revision, kind.to_owned(), event));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head) else {
                return;
            };
            let (status, json) = self.respond(&head, &String::from_utf8_lossy(&body));
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{json}",
                json.len()
            );
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, head: &Head, body: &str) -> (u16, String) {
        let missing = (404, "{}".to_owned());
        let mut parts = head.start.split(' ');
        let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
            return (400, "{}".to_owned());
        };
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix(OBJECTS) else {
            return missing;
        };
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        match (method, rest.split_once('/')) {
            ("GET", None) if query.contains_key("watch") => self.watch(rest, &query),
            ("GET", None) => self.list(rest, query.get("after").copied().unwrap_or_default()),
            ("GET", Some((kind, name))) => match self.object(kind, name) {
                Some(object) => (200, object_json(name, &object)),
                None => missing,
            },
            ("POST", None) => {
                let metadata = json::member(body, "metadata").unwrap_or_default();
                let name = json::string(&metadata, "name").unwrap_or_default();
                if let Some(object) = self.object(rest, &name) {
                    return (409, object_json(&name, &object));
                }
                self.write(rest, &name, &json::member(body, "spec").unwrap_or_default());
                let object = self.object(rest, &name);
                (
                    201,
                    object.map_or(String::new(), |object| object_json(&name, &object)),
                )
            }
            ("PUT", Some((kind, name))) => {
                let Some(object) = self.object(kind, name) else {
                    return missing;
                };
                let metadata = json::member(body, "metadata").unwrap_or_default();
                let wanted = json::member(&metadata, "revision");
                if wanted.is_some_and(|wanted| wanted != object.revision.to_string()) {
                    return (409, object_json(name, &object));
                }
                self.write(kind, name, &json::member(body, "spec").unwrap_or_default());
                let object = self.object(kind, name);
                (
                    200,
                    object.map_or(String::new(), |object| object_json(name, &object)),
                )
            }
            _ => missing,
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<Object> {
        let state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).cloned()
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| object_json(name, object))
            .collect();
        let list = format!(
            "{{\"items\":[{}],\"more\":false,\"atRev\":{}}}",
            items.join(","),
            state.revision
        );
        (200, list)
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("watch").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            while let Some((at, revision, ..)) = state.events.first() {
                if at.elapsed() < HISTORY {
                    break;
                }
                state.compacted = *revision;
                state.events.remove(0);
            }
            if after < state.compacted {
                return (410, "{}".to_owned());
            }
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(_, revision, of, _)| *revision > after && of == kind)
                .map(|(.., event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let response = format!(
                    "{{\"events\":[{}],\"atRev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, response);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object_json(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"createdRev\":{},\"finalizers\":[],\"deletionPending\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}
