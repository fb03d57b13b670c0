//! Names of header fields.

/// The names of the header fields between a node and its callers and backend servers. A field
/// without a name in the dialect is neither sent nor expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// The client account that makes the request, set by the node on the caller's host.
    pub account: Option<&'static str>,
    /// The id of the caller's request, which a backend server repeats in its response. A success
    /// response with another id does not belong to the request.
    pub attempt: Option<&'static str>,
    /// The service of the caller's host, set by the node on that host.
    pub caller: Option<&'static str>,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline: &'static str,
    /// The endpoint that the request is meant for; any other backend server refuses it.
    pub endpoint: Option<&'static str>,
    /// The field by which a backend server says in its responses, with the value `1`, that it is
    /// leaving and takes no further calls.
    pub leaving: Option<&'static str>,
    /// The key of the caller's client account, which is not passed on.
    pub key: Option<&'static str>,
    /// The rate of calls that a backend server takes from the whole fleet, in calls per second, as it
    /// states it in its responses for as long as it applies.
    pub limit: Option<&'static str>,
    /// The number of hops between nodes that the request has made.
    pub hops: Option<&'static str>,
    /// The load that a backend server reports in a response, see [`crate::Dialect::parse_load`].
    pub load: Option<&'static str>,
    /// The field by which a backend server states that it did not execute the request. Without a
    /// name, every response counts as valid.
    pub not_run: Option<&'static str>,
    /// The field that every success response of a backend server must carry; one without it is not
    /// taken for a response to the request.
    pub seal: Option<&'static str>,
}
