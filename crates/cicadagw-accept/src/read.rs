//! Reading of what is in force.

use std::fmt;

use cicadagw_config::head::Entry;
use cicadagw_config::{Head, Snapshot, part};
use cicadagw_platform::{self as platform, Key, Revision, Store};

/// The head with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredHead {
    /// The head.
    pub head: Head,
    /// Its revision.
    pub revision: Revision,
}

/// Says why something cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The platform cannot be used.
    Platform(platform::Error),
    /// What the platform holds is not what it should be.
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

/// Reads the head; `None` when no configuration was ever accepted.
///
/// # Errors
///
/// When the platform cannot be used or the head is no head.
pub async fn head<S: Store>(store: &S) -> Result<Option<StoredHead>, Error> {
    let Some(object) = store.get(&Key::head()).await? else {
        return Ok(None);
    };
    let head: Head = serde_json::from_slice(&object.value)
        .map_err(|error| Error::Content(format!("`head` is no head: {error}")))?;
    if head.history.is_empty() {
        return Err(Error::Content("`head` has an empty history".to_owned()));
    }
    Ok(Some(StoredHead {
        head,
        revision: object.revision,
    }))
}

/// Reads the snapshot that `entry` names, and verifies it.
///
/// # Errors
///
/// When the platform cannot be used, or a part is missing or corrupt.
pub async fn load<S: Store>(store: &S, entry: &Entry) -> Result<Snapshot, Error> {
    let mut contents = Vec::with_capacity(entry.parts.len());
    for digest in &entry.parts {
        let object = store.get(&Key::part(*digest)).await?;
        let object = object.ok_or_else(|| Error::Content(format!("part `{digest}` is missing")))?;
        if !part::is_intact(*digest, &object.value) {
            return Err(Error::Content(format!("part `{digest}` is corrupt")));
        }
        contents.push(object.value.to_vec());
    }
    let config = part::unpack(&contents).map_err(|error| Error::Content(error.to_string()))?;
    let snapshot = Snapshot {
        config,
        preset: entry.preset.clone(),
        stamp: entry.stamp,
    };
    if snapshot.is_intact() {
        Ok(snapshot)
    } else {
        let stamp = entry.stamp;
        Err(Error::Content(format!("the content of {stamp} is another")))
    }
}
