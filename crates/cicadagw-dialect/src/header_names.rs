//! Names of header fields.

/// The names of the header fields between a node and its callers and backend servers. A field
/// without a name in the dialect is neither sent nor expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// The id of the caller's request, which a backend server repeats in its response.
    pub attempt: Option<&'static str>,
    /// The service of the caller's host, set by the node on that host.
    pub caller: Option<&'static str>,
    /// The time left until the deadline, in milliseconds.
    pub deadline: &'static str,
    /// The endpoint that the request is meant for; any other backend server refuses it.
    pub endpoint: Option<&'static str>,
    /// The number of hops between nodes that the request has made.
    pub hops: Option<&'static str>,
    /// The load of the backend server.
    pub load: Option<&'static str>,
    /// The statement of a backend server that it did not execute the request.
    pub not_run: Option<&'static str>,
    /// The seal that every successful response of a backend server carries.
    pub seal: Option<&'static str>,
}
