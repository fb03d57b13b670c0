//! The header fields between nodes.

use cicadagw_dialect::HeaderNames;
use cicadagw_http::Fields;

/// How many milliseconds are left for the call.
pub(crate) const DEADLINE: &str = "x-cicadagw-deadline-ms";
/// How many milliseconds are left until the answer is worth less.
pub(crate) const TARGET: &str = "x-cicadagw-target-ms";
/// How many hops from node to node the call has made.
pub(crate) const HOPS: &str = "x-cicadagw-hops";
/// Which endpoint is meant.
pub(crate) const ENDPOINT: &str = "x-cicadagw-endpoint";
/// Which cluster the call was routed to.
pub(crate) const CLUSTER: &str = "x-cicadagw-cluster";
/// Which policy the call is treated by.
pub(crate) const POLICY: &str = "x-cicadagw-policy";
/// The service of the host that the call comes from.
pub(crate) const CALLER: &str = "x-cicadagw-caller";
/// How the call ended.
pub(crate) const OUTCOME: &str = "x-cicadagw-outcome";
/// Why the call was not answered.
pub(crate) const REASON: &str = "x-cicadagw-reason";
/// How busy the backend server is.
pub(crate) const LOAD: &str = "x-cicadagw-load";
/// How many milliseconds the backend server took.
pub(crate) const WORK: &str = "x-cicadagw-work-ms";

/// What the name of every field between nodes begins with.
const PREFIX: &[u8] = b"x-cicadagw-";

/// Returns the fields of a request that go on: neither those of one connection nor those that nodes
/// set themselves.
pub(crate) fn request(fields: &Fields, names: &HeaderNames) -> Fields {
    let own = [
        names.caller,
        Some(names.deadline),
        names.endpoint,
        names.hops,
    ];
    fields.end_to_end(|name| is_own(name) || own.into_iter().flatten().any(|own| is(name, own)))
}

/// Returns the fields of a response that go on.
pub(crate) fn response(fields: &Fields) -> Fields {
    fields.end_to_end(is_own)
}

fn is_own(name: &[u8]) -> bool {
    let begin = name.get(..PREFIX.len());
    begin.is_some_and(|begin| begin.eq_ignore_ascii_case(PREFIX))
}

fn is(name: &[u8], other: &str) -> bool {
    name.eq_ignore_ascii_case(other.as_bytes())
}
