//! Writes the parts of configuration snapshots, and removes those that the history no longer
//! references.

use bytes::Bytes;
use cicadagw_config::Head;
use cicadagw_config::head::Entry;
use cicadagw_config::part::Part;
use cicadagw_platform::{Condition, Error, Key, Store};
use cicadagw_unit::Digest;

use crate::read;

/// Writes the parts that are not stored yet.
pub(crate) async fn write<S: Store>(store: &S, parts: &[Part]) -> Result<(), Error> {
    for part in parts {
        let value = Bytes::copy_from_slice(&part.bytes);
        match store
            .put(&Key::part(part.digest), value, Condition::Absent)
            .await
        {
            // The key is the digest of the content, so a part that exists already has the same
            // content.
            Ok(_) | Err(Error::Conflict) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Writes `parts` if they are not stored, then removes the parts that only `evicted` references,
/// the entry that the history no longer holds.
///
/// An operator may apply an earlier configuration again while another operator removes its parts.
/// Therefore each operator writes the parts of the change again after updating the head, and after
/// a removal reads the head and restores the removed parts that the head references. Whichever of
/// the two is last, the parts are in place.
pub(crate) async fn collect_garbage<S: Store>(
    store: &S,
    parts: &[Part],
    evicted: Option<&Entry>,
) -> Result<(), read::Error> {
    write(store, parts).await?;
    let Some(evicted) = evicted else {
        return Ok(());
    };
    let removed = remove_unreferenced(store, evicted).await?;
    let Some(found) = read::read_head(store).await? else {
        return Ok(());
    };
    let restored: Vec<_> = removed
        .into_iter()
        .filter(|part| references(&found.head, part.digest))
        .collect();
    Ok(write(store, &restored).await?)
}

/// Removes the parts of `evicted` that the head does not reference, and returns them.
async fn remove_unreferenced<S: Store>(
    store: &S,
    evicted: &Entry,
) -> Result<Vec<Part>, read::Error> {
    let Some(found) = read::read_head(store).await? else {
        return Ok(Vec::new());
    };
    let mut removed = Vec::new();
    for digest in evicted.parts.iter().copied().chain(evicted.delta) {
        if references(&found.head, digest) {
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

/// Returns whether an entry in the history references the part.
fn references(head: &Head, digest: Digest) -> bool {
    head.history
        .iter()
        .any(|entry| entry.delta == Some(digest) || entry.parts.contains(&digest))
}
