//! Removal of parts that nothing names any more.

use bytes::Bytes;
use cicadagw_config::Head;
use cicadagw_config::head::Entry;
use cicadagw_config::part::Part;
use cicadagw_platform::{Condition, Error, Key, Store};
use cicadagw_unit::Digest;

use crate::read;

/// Writes parts that are not there yet.
pub(crate) async fn write<S: Store>(store: &S, parts: &[Part]) -> Result<(), Error> {
    for part in parts {
        let value = Bytes::copy_from_slice(&part.bytes);
        match store
            .put(&Key::part(part.digest), value, Condition::Absent)
            .await
        {
            // The name is the content's digest, so what is there already is the same.
            Ok(_) | Err(Error::Conflict) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Makes sure of `parts`, then removes what only `dropped` named.
///
/// Somebody may apply an old content again just while its parts are removed. So a writer writes its
/// parts once more after it moved the head, and whoever removes parts looks at the head afterwards
/// and puts back what it names again: one of the two comes last.
pub(crate) async fn tidy<S: Store>(
    store: &S,
    parts: &[Part],
    dropped: Option<&Entry>,
) -> Result<(), read::Error> {
    write(store, parts).await?;
    let Some(dropped) = dropped else {
        return Ok(());
    };
    let removed = remove(store, dropped).await?;
    let Some(found) = read::head(store).await? else {
        return Ok(());
    };
    let named_again: Vec<_> = removed
        .into_iter()
        .filter(|part| names(&found.head, part.digest))
        .collect();
    Ok(write(store, &named_again).await?)
}

/// Removes the parts of `dropped` that the head does not name, and returns them.
async fn remove<S: Store>(store: &S, dropped: &Entry) -> Result<Vec<Part>, read::Error> {
    let Some(found) = read::head(store).await? else {
        return Ok(Vec::new());
    };
    let mut removed = Vec::new();
    for digest in dropped.parts.iter().copied().chain(dropped.delta) {
        if names(&found.head, digest) {
            continue;
        }
        let key = Key::part(digest);
        if let Some(object) = store.get(&key).await? {
            store.delete(&key).await?;
            removed.push(Part {
                digest,
                bytes: object.value.to_vec(),
            });
        }
    }
    Ok(removed)
}

/// Tells whether a change that the history holds names the part.
fn names(head: &Head, digest: Digest) -> bool {
    head.history
        .iter()
        .any(|entry| entry.delta == Some(digest) || entry.parts.contains(&digest))
}
