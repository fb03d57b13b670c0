//! A generated configuration with a given number of services, which can be edited route by route.

use std::io;

use cicadagw_config::{Config, load};
use cicadagw_unit::id;
use serde_json::{Map, Value, json};

/// The two policies that an edited route alternates between.
const POLICIES: [&str; 2] = ["standard", "patient"];

/// A declared configuration; each edit changes the next route.
pub(crate) struct EditableConfig {
    declared: Value,
    /// The number of services.
    services: usize,
    /// The number of edits made so far.
    edits: usize,
}

impl EditableConfig {
    /// Creates a configuration of `services` services, each with a cluster and a route.
    pub(crate) fn new(services: usize) -> Self {
        let numbers = 0..services;
        let clusters: Map<_, _> = numbers
            .clone()
            .map(|number| (service(number), json!({ "service": service(number) })))
            .collect();
        let routes: Map<_, _> = numbers
            .map(|number| (service(number), route(number, POLICIES[0])))
            .collect();
        let declared = json!({
            "clusters": clusters,
            "policies": {
                "standard": { "timeout": "5000ms" },
                "patient": { "timeout": "20000ms" },
            },
            "presets": {
                "ordinary": {},
                "peak": { "policies": { "standard": { "attempts": 2 } } },
            },
            "routes": routes,
        });
        Self {
            declared,
            services,
            edits: 0,
        }
    }

    /// Gives the next route the other policy; after the last route it begins with the first again.
    pub(crate) fn edit(&mut self) {
        let number = self.edits % self.services;
        let round = self.edits / self.services + 1;
        self.edits += 1;
        self.declared["routes"][service(number)] = route(number, POLICIES[round % POLICIES.len()]);
    }

    /// Returns the configuration with all edits made so far.
    pub(crate) fn config(&self) -> io::Result<Config> {
        let config = load("measured configuration", &self.declared.to_string());
        config.map_err(|findings| io::Error::other(findings.to_string()))
    }

    /// Returns the ids of all services.
    pub(crate) fn services(&self) -> io::Result<Vec<id::Service>> {
        let services: Result<_, _> = (0..self.services)
            .map(|number| service(number).parse())
            .collect();
        services.map_err(io::Error::other)
    }
}

/// Returns the name of service `number`, which is also that of its cluster and route.
fn service(number: usize) -> String {
    format!("service-{number:03}")
}

/// Returns the route of service `number` under `policy`.
fn route(number: usize, policy: &str) -> Value {
    let service = service(number);
    json!({ "prefix": format!("/{service}"), "cluster": service, "policy": policy })
}
