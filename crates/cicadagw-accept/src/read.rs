//! Reads the head and snapshots.

use std::fmt;

use cicadagw_config::head::Entry;
use cicadagw_config::{Head, Snapshot, part};
use cicadagw_platform::{self as platform, Key, Revision, Store};

/// The head as stored, with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHead {
    /// The head.
    pub head: Head,
    /// The revision of the head object, for conditional updates.
    pub revision: Revision,
}

/// The reason why the head or a snapshot cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The platform was unavailable or did not execute the request.
    Platform(platform::Error),
    /// The stored content is missing or invalid.
    Content(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Content(reason) => f.write_str(reason),
        }
    }
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

/// Reads the head; `None` if no configuration was ever accepted.
///
/// # Errors
///
/// Returns an error if the request to the platform fails or the stored head is invalid.
pub async fn read_head<S: Store>(store: &S) -> Result<Option<StoredHead>, Error> {
    let Some(object) = store.get(&Key::head()).await? else {
        return Ok(None);
    };
    let head: Head = serde_json::from_slice(&object.value)
        .map_err(|error| Error::Content(format!("`head` is not a valid head object: {error}")))?;
    if head.history.is_empty() {
        return Err(Error::Content("`head` has an empty history".to_owned()));
    }
    Ok(Some(StoredHead {
        head,
        revision: object.revision,
    }))
}

/// Reads the snapshot that `entry` references, and verifies its digests.
///
/// # Errors
///
/// Returns an error if a request to the platform fails, or a part is missing or corrupt.
pub async fn load_snapshot<S: Store>(store: &S, entry: &Entry) -> Result<Snapshot, Error> {
    let mut parts = Vec::with_capacity(entry.parts.len());
    for digest in &entry.parts {
        let object = store.get(&Key::part(*digest)).await?;
        let object = object.ok_or_else(|| Error::Content(format!("part `{digest}` is missing")))?;
        if !part::is_intact(*digest, &object.value) {
            return Err(Error::Content(format!("part `{digest}` is corrupt")));
        }
        parts.push(object.value.to_vec());
    }
    let config = part::unpack(&parts).map_err(|error| Error::Content(error.to_string()))?;
    let snapshot = Snapshot {
        config,
        preset: entry.preset.clone(),
        stamp: entry.stamp,
    };
    if snapshot.is_intact() {
        Ok(snapshot)
    } else {
        let stamp = entry.stamp;
        Err(Error::Content(format!(
            "the content of {stamp} does not match its digest"
        )))
    }
}
