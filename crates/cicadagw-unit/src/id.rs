//! Identifiers of configuration objects, nodes, endpoints and their locations.

use crate::macros::name;

/// The maximum length of a name, in bytes.
pub const NAME_MAX: usize = 64;

/// The syntax of a name, for error messages.
pub(crate) const NAME_SYNTAX: &str =
    "1 to 64 characters from a-z, 0-9, `-`, `_` and `.`, starting with a letter or digit";

/// Returns whether `text` has the syntax of [`NAME_SYNTAX`].
pub(crate) fn is_name(text: &str) -> bool {
    let first_is_valid = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let all_are_valid = text
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte));
    first_is_valid && all_are_valid && text.len() <= NAME_MAX
}

name! {
    /// Names a client account: the callers that present one of its keys.
    Account, "account name"
}
name! {
    /// Identifies a configuration change; chosen by the client that submits the change, and must be
    /// unique.
    Change, "change id"
}
name! {
    /// Names a cluster: the endpoints of one service, as a target of routes.
    Cluster, "cluster name"
}
name! {
    /// Names a failure domain, such as a zone.
    Domain, "failure domain name"
}
name! {
    /// Identifies an endpoint; a backend server gets a new one at every start.
    Endpoint, "endpoint id"
}
name! {
    /// Names a node, the proxy process on the host of one backend server.
    Node, "node name"
}
name! {
    /// Names an operator, the author of configuration changes.
    Operator, "operator name"
}
name! {
    /// Names a policy, which sets timeouts, retries and limits for the calls of routes.
    Policy, "policy name"
}
name! {
    /// Names a preset, a set of overrides of policy fields.
    Preset, "preset name"
}
name! {
    /// Names a rack of hosts behind one switch.
    Rack, "rack name"
}
name! {
    /// Names a region, which contains failure domains.
    Region, "region name"
}
name! {
    /// Names a release of a service: the version of the software that a backend server runs.
    Release, "release name"
}
name! {
    /// Names a route, which maps calls to a cluster.
    Route, "route name"
}
name! {
    /// Names a secret; the name may appear in logs, dumps and status, the value never does.
    Secret, "secret name"
}
name! {
    /// Names a service, which backend servers implement.
    Service, "service name"
}
