//! Configurations as the operator writes them.

use crate::json::quote;

/// A route of a configuration.
#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout: &'static str,
}

impl Route {
    pub fn new(
        name: &'static str,
        host: &'static str,
        kind: &'static str,
        service: &'static str,
    ) -> Self {
        Self {
            name,
            host,
            prefix: "/",
            kind,
            service,
            timeout: "2000ms",
        }
    }
}

/// Returns a configuration; `tenants` are names with their keys.
pub fn document(
    version: u64,
    services: &[&str],
    routes: &[Route],
    tenants: Option<&[(&str, &[&str])]>,
) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "[{},{},{},{},{},\"500ms\",2,1,{}]",
                quote(route.name),
                quote(route.host),
                quote(route.prefix),
                quote(route.kind),
                quote(route.timeout),
                quote(route.service)
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|service| format!("[{},\"/health\",110]", quote(service)))
        .collect();
    let tenants = tenants.map_or_else(String::new, |tenants| {
        let rows: Vec<String> = tenants
            .iter()
            .map(|(name, keys)| {
                let keys: Vec<String> = keys.iter().map(|key| quote(key)).collect();
                format!("[{},[{}]]", quote(name), keys.join(","))
            })
            .collect();
        format!(
            ",\"tenants\":{{\"columns\":[\"name\",\"apiKeys\"],\"rows\":[{}]}}",
            rows.join(",")
        )
    });
    format!(
        "{{\"version\":\"r{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"routeType\",\"timeout\",\"targetLatency\",\"maxAttempts\",\"priority\",\"service\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"healthPath\",\"maxConnections\"],\"rows\":[{}]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}{tenants}}}",
        rows.join(","),
        services.join(",")
    )
}
