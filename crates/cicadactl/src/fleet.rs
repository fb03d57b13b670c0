//! How the fleet stands.

use std::collections::BTreeMap;

use cicadagw_platform::Revision;
use cicadagw_unit::{Version, id};
use cicadagw_wire::Status;
use cicadagw_wire::report::{Laggard, Reason};
use serde_json::{Value, json};

use crate::table::table;

/// The status of every failure domain that is expected to have one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// The failure domains.
    pub domains: BTreeMap<id::Domain, Domain>,
}

/// What is known of one failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Domain {
    /// The revision of its status; zero when there is none.
    pub revision: Revision,
    /// Its status, once a root wrote one.
    pub status: Option<Status>,
}

impl Domain {
    /// Tells whether every node holds `version`, and the root has heard of it.
    pub fn holds(&self, version: Version) -> bool {
        self.status
            .as_ref()
            .is_some_and(|status| status.report.lowest >= version && status.newest >= version)
    }

    fn count(&self) -> u32 {
        self.status.as_ref().map_or(0, |status| status.report.count)
    }
}

impl Fleet {
    /// Tells whether every node of every failure domain holds `version`.
    pub fn holds(&self, version: Version) -> bool {
        !self.domains.is_empty() && self.behind(version).is_none()
    }

    /// Returns the first failure domain that does not hold `version`.
    pub fn behind(&self, version: Version) -> Option<(&id::Domain, &Domain)> {
        self.domains
            .iter()
            .find(|(_, domain)| !domain.holds(version))
    }

    /// Returns in one line how far `version` is.
    pub fn progress(&self, version: Version) -> String {
        let good = self.domains.values().filter(|domain| domain.holds(version));
        let nodes: u32 = good.clone().map(Domain::count).sum();
        let all: u32 = self.domains.values().map(Domain::count).sum();
        let first = self
            .behind(version)
            .map(|(name, domain)| format!("; {name}: {}", state(domain, version)));
        format!(
            "version {version}: {} of {} failure domains, {nodes} of {all} nodes{}",
            good.count(),
            self.domains.len(),
            first.unwrap_or_default(),
        )
    }

    /// Returns the fleet as a table, when `version` is to be held.
    pub fn text(&self, version: Version) -> String {
        if self.domains.is_empty() {
            return "no failure domain has registered".to_owned();
        }
        let rows: Vec<[String; 6]> = self
            .domains
            .iter()
            .map(|(name, domain)| row(name, domain, version))
            .collect();
        let heads = ["DOMAIN", "LOWEST", "NEWEST", "NODES", "ROOT", "STATE"];
        table(heads, &rows)
    }

    /// Returns the fleet for scripts, when `version` is to be held.
    pub fn json(&self, version: Version) -> Value {
        let domains: Vec<Value> = self
            .domains
            .iter()
            .map(|(name, domain)| {
                json!({
                    "domain": name,
                    "holds": domain.holds(version),
                    "status": domain.status,
                })
            })
            .collect();
        json!({ "version": version, "holds": self.holds(version), "domains": domains })
    }
}

fn row(name: &id::Domain, domain: &Domain, version: Version) -> [String; 6] {
    let report = domain.status.as_ref().map(|status| &status.report);
    let root = domain.status.as_ref().map(|status| &status.root);
    [
        name.to_string(),
        cell(report.map(|report| report.lowest)),
        cell(domain.status.as_ref().map(|status| status.newest)),
        cell(report.map(|report| report.count)),
        cell(root),
        state(domain, version),
    ]
}

fn cell(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Says how a failure domain stands.
fn state(domain: &Domain, version: Version) -> String {
    let Some(status) = &domain.status else {
        return "no status: no root reaches the platform".to_owned();
    };
    if domain.holds(version) {
        return "in step".to_owned();
    }
    if status.newest < version {
        return "stale: the root has not heard of the version".to_owned();
    }
    let laggards: Vec<String> = status.report.laggards.iter().map(laggard).collect();
    if laggards.is_empty() {
        return "behind".to_owned();
    }
    format!("behind: {}", laggards.join("; "))
}

fn laggard(laggard: &Laggard) -> String {
    let Laggard { node, held, reason } = laggard;
    match reason {
        Reason::Behind => format!("{node} holds {held}"),
        Reason::Refused(reason) => format!("{node} holds {held} and refused: {reason}"),
    }
}
