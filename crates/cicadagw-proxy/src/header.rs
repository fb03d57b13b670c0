//! The headers of the protocol, and those that end at a hop.

use actix_web::http::header::{self, HeaderMap, HeaderName};
use smallvec::SmallVec;

/// How many milliseconds are left for the call.
pub(crate) static DEADLINE: HeaderName = HeaderName::from_static("x-cicadagw-deadline-ms");
/// How many hops from node to node the call has made.
pub(crate) static HOPS: HeaderName = HeaderName::from_static("x-cicadagw-hops");
/// Which endpoint is meant, from node to node.
pub(crate) static ENDPOINT: HeaderName = HeaderName::from_static("x-cicadagw-endpoint");
/// Which cluster the call was routed to, from node to node.
pub(crate) static CLUSTER: HeaderName = HeaderName::from_static("x-cicadagw-cluster");
/// Which policy the call is treated by, from node to node.
pub(crate) static POLICY: HeaderName = HeaderName::from_static("x-cicadagw-policy");
/// How the call ended.
pub(crate) static OUTCOME: HeaderName = HeaderName::from_static("x-cicadagw-outcome");
/// Why the call was not answered.
pub(crate) static REASON: HeaderName = HeaderName::from_static("x-cicadagw-reason");
/// How busy the backend server is, from node to node.
pub(crate) static LOAD: HeaderName = HeaderName::from_static("x-cicadagw-load");

/// Headers that are for the next hop alone.
static HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Headers that nodes set themselves.
static OWN: [&HeaderName; 8] = [
    &DEADLINE, &HOPS, &ENDPOINT, &CLUSTER, &POLICY, &OUTCOME, &REASON, &LOAD,
];

/// Returns the headers that go on to the next hop; the length goes with the body.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len() + OWN.len());
    for (name, value) in headers {
        let ends_here = HOP_BY_HOP.contains(name)
            || OWN.contains(&name)
            || *name == header::CONTENT_LENGTH
            || named.iter().any(|named| named == name);
        if !ends_here {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns the headers that `Connection` names.
fn named_by_connection(headers: &HeaderMap) -> SmallVec<[HeaderName; 2]> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
