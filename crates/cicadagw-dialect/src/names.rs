//! Names of header fields.

/// The header fields between a node and its callers and backend servers. What a dialect has no name
/// for is neither sent nor expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// The id of the caller's request, which a backend server repeats in its response.
    pub attempt: Option<&'static str>,
    /// The service of the host on which the caller stands, set by its node.
    pub caller: Option<&'static str>,
    /// How many milliseconds are left.
    pub deadline: &'static str,
    /// The endpoint that is meant; another backend server refuses the request.
    pub endpoint: Option<&'static str>,
    /// How many hops from node to node were made.
    pub hops: Option<&'static str>,
    /// The load of the backend server.
    pub load: Option<&'static str>,
    /// The word of a backend server that it did not run the request.
    pub not_run: Option<&'static str>,
    /// What every successful response of a backend server carries.
    pub seal: Option<&'static str>,
}
