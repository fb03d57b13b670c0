//! Hashes that travel between nodes, and so must be the same in every build.

use cicadagw_rollout::Directive;
use cicadagw_unit::id;

use crate::Stamp;

/// Returns the hash of a node name: the first eight bytes of its BLAKE3 hash, in little-endian order.
pub(crate) fn name(node: &id::Node) -> u64 {
    first_eight(&blake3::hash(node.as_str().as_bytes()))
}

/// Returns the hash of a record by its node name and stamp: the first eight bytes of the BLAKE3 hash
/// of the name, a zero byte and both numbers of the stamp, in little-endian order.
pub(crate) fn record(node: &id::Node, stamp: Stamp) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(node.as_str().as_bytes())
        .update(&[0])
        .update(&stamp.0.to_le_bytes())
        .update(&stamp.1.to_le_bytes());
    first_eight(&hasher.finalize())
}

/// Returns the rank of a node among those that may own a part of the quota of `account`: the first
/// eight bytes of the BLAKE3 hash of the account's name, a zero byte and the node's name, in
/// little-endian order.
pub(crate) fn rank(account: &id::Account, node: &id::Node) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(account.as_str().as_bytes())
        .update(&[0])
        .update(node.as_str().as_bytes());
    first_eight(&hasher.finalize())
}

/// Returns the hash of a rollout by its service and precedence; never zero.
pub(crate) fn rollout(directive: &Directive) -> u64 {
    let (term, stopped) = directive.precedence();
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(directive.service.as_str().as_bytes())
        .update(&[0, u8::from(stopped)])
        .update(term.to_string().as_bytes());
    first_eight(&hasher.finalize()).max(1)
}

fn first_eight(hash: &blake3::Hash) -> u64 {
    let (first, _) = hash
        .as_bytes()
        .split_first_chunk()
        .expect("a hash has 32 bytes");
    u64::from_le_bytes(*first)
}
