//! The header fields that nodes exchange.

use cicadagw_dialect::HeaderNames;
use cicadagw_http::Fields;

/// The time until the call's deadline, in milliseconds.
pub(crate) const DEADLINE: &str = "x-cicadagw-deadline-ms";
/// The time until the call's latency target, in milliseconds.
pub(crate) const LATENCY_TARGET: &str = "x-cicadagw-target-ms";
/// The number of node-to-node hops so far.
pub(crate) const HOPS: &str = "x-cicadagw-hops";
/// The endpoint that the sending node selected.
pub(crate) const ENDPOINT: &str = "x-cicadagw-endpoint";
/// The cluster to which the call was routed.
pub(crate) const CLUSTER: &str = "x-cicadagw-cluster";
/// The policy that applies to the call.
pub(crate) const POLICY: &str = "x-cicadagw-policy";
/// The client account that makes the call.
pub(crate) const ACCOUNT: &str = "x-cicadagw-account";
/// The service of the host on which the call originated.
pub(crate) const CALLER: &str = "x-cicadagw-caller";
/// The outcome of the call: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: &str = "x-cicadagw-outcome";
/// The reason why the call got no response from a backend server.
pub(crate) const REASON: &str = "x-cicadagw-reason";
/// The load that the backend server's node reports, as `in_flight/slots`.
pub(crate) const LOAD: &str = "x-cicadagw-load";
/// The time after which the rate limit of the backend server allows a refused call, in milliseconds.
pub(crate) const LIMITED: &str = "x-cicadagw-limited-ms";
/// The time from sending the request to the backend server to its response head, in milliseconds.
pub(crate) const WORK: &str = "x-cicadagw-work-ms";

/// The name prefix of these fields.
const PREFIX: &[u8] = b"x-cicadagw-";

/// Returns the fields of a request to forward: neither hop-by-hop fields, nor those that nodes set
/// themselves, nor the caller's key.
pub(crate) fn request(fields: &Fields, names: &HeaderNames) -> Fields {
    let node_fields = [
        names.account,
        names.caller,
        Some(names.deadline),
        names.endpoint,
        names.hops,
        names.key,
    ];
    fields.end_to_end(|name| {
        is_internal(name)
            || node_fields
                .into_iter()
                .flatten()
                .any(|field| is_same_name(name, field))
    })
}

/// Returns the fields of a response to forward.
pub(crate) fn response(fields: &Fields) -> Fields {
    fields.end_to_end(is_internal)
}

/// Returns whether a backend server says in a response with these fields that it is leaving.
pub(crate) fn says_leaving(fields: &Fields, names: &HeaderNames) -> bool {
    let text = names.leaving.and_then(|name| fields.text(name));
    text == Some("1")
}

fn is_internal(name: &[u8]) -> bool {
    let prefix = name.get(..PREFIX.len());
    prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(PREFIX))
}

fn is_same_name(name: &[u8], other: &str) -> bool {
    name.eq_ignore_ascii_case(other.as_bytes())
}
