//! Names of the things that the system knows.

use crate::macros::name;

/// The longest name, in bytes.
pub const NAME_MAX: usize = 64;

/// What a good name looks like, for error texts.
pub(crate) const NAME_FORM: &str =
    "1 to 64 of a-z, 0-9, `-`, `_`, `.`, beginning with a letter or digit";

/// Tells whether `text` may be a name.
pub(crate) fn is_name(text: &str) -> bool {
    let first_is_plain = text
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    let rest_is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte));
    first_is_plain && rest_is_plain && text.len() <= NAME_MAX
}

name! {
    /// Names a change of configuration; chosen by its writer, unique for every change.
    Change, "change id"
}
name! {
    /// Names a cluster: a service as a route sees it, with its endpoint set.
    Cluster, "cluster name"
}
name! {
    /// Names a failure domain.
    Domain, "failure domain name"
}
name! {
    /// Names an endpoint; new for every start of a backend server.
    Endpoint, "endpoint id"
}
name! {
    /// Names a node, the process of the system on one backend server host.
    Node, "node name"
}
name! {
    /// Names an operator.
    Operator, "operator name"
}
name! {
    /// Names a service policy.
    Policy, "policy name"
}
name! {
    /// Names a preset.
    Preset, "preset name"
}
name! {
    /// Names a rack of hosts behind one switch.
    Rack, "rack name"
}
name! {
    /// Names a region.
    Region, "region name"
}
name! {
    /// Names a route.
    Route, "route name"
}
name! {
    /// Names a secret; its value never appears in logs, dumps or status.
    Secret, "secret name"
}
name! {
    /// Names a service.
    Service, "service name"
}
