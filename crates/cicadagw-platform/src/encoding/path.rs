//! Paths of the native object API.

use cicadagw_unit::time::Span;

use crate::{Key, Revision};

/// The prefix of the paths of all objects.
pub const OBJECTS: &str = "/v1/objects/";

/// The path of the list of keys.
pub const KEYS: &str = "/v1/objects";

/// Returns the path of an object.
pub fn object(key: &Key) -> String {
    format!("{OBJECTS}{key}")
}

/// Returns the path that waits up to `wait` for the object to have a revision above `after`.
pub fn watch(key: &Key, after: Revision, wait: Span) -> String {
    format!(
        "{OBJECTS}{key}?after={}&wait={}",
        after.number(),
        wait.get()
    )
}

/// Returns the path that lists the keys which start with `prefix`.
pub fn keys(prefix: &str) -> String {
    format!("{KEYS}?prefix={prefix}")
}
