//! The status of the fleet: which failure domains hold a version.

use std::collections::BTreeMap;

use cicadagw_platform::Revision;
use cicadagw_unit::{Version, id};
use cicadagw_wire::Status;
use cicadagw_wire::report::{Laggard, Reason};
use serde_json::{Value, json};

use crate::table::table;

/// The status of every failure domain that has a directory on the platform.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// The failure domains by name.
    pub domains: BTreeMap<id::Domain, Domain>,
}

/// The last known status of one failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Domain {
    /// The revision of the status object; zero without one.
    pub revision: Revision,
    /// The status, once the root of the failure domain has written one.
    pub status: Option<Status>,
}

impl Domain {
    /// Returns whether every node holds `version` or a newer one, and the root knows of that
    /// version.
    pub fn holds(&self, version: Version) -> bool {
        self.status
            .as_ref()
            .is_some_and(|status| status.report.lowest >= version && status.newest >= version)
    }

    /// Returns the number of nodes in the status; zero without a status.
    fn node_count(&self) -> u32 {
        self.status.as_ref().map_or(0, |status| status.report.count)
    }
}

impl Fleet {
    /// Returns whether every node of every failure domain holds `version`.
    pub fn holds(&self, version: Version) -> bool {
        !self.domains.is_empty() && self.first_behind(version).is_none()
    }

    /// Returns the first failure domain that does not hold `version`.
    pub fn first_behind(&self, version: Version) -> Option<(&id::Domain, &Domain)> {
        self.domains
            .iter()
            .find(|(_, domain)| !domain.holds(version))
    }

    /// Describes in one line how many failure domains hold `version` on every node, how many nodes
    /// these have, and the state of the first of the others. Only nodes of failure domains with a
    /// status are counted.
    pub fn progress(&self, version: Version) -> String {
        let up_to_date = self.domains.values().filter(|domain| domain.holds(version));
        let nodes: u32 = up_to_date.clone().map(Domain::node_count).sum();
        let all: u32 = self.domains.values().map(Domain::node_count).sum();
        let first = self
            .first_behind(version)
            .map(|(name, domain)| format!("; {name}: {}", state(domain, version)));
        format!(
            "version {version}: {} of {} failure domains up to date, with {nodes} of {all} nodes{}",
            up_to_date.count(),
            self.domains.len(),
            first.unwrap_or_default(),
        )
    }

    /// Returns the fleet as a human-readable table, with the state of each failure domain for
    /// `version`.
    pub fn text(&self, version: Version) -> String {
        if self.domains.is_empty() {
            return "no failure domain has a directory on the platform".to_owned();
        }
        let rows: Vec<[String; 6]> = self
            .domains
            .iter()
            .map(|(name, domain)| row(name, domain, version))
            .collect();
        let headers = ["DOMAIN", "LOWEST", "NEWEST", "NODES", "ROOT", "STATE"];
        table(headers, &rows)
    }

    /// Returns the fleet as JSON, with the state of each failure domain for `version`.
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

/// Returns the table row of a failure domain.
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

/// Returns the text of a table cell, which is `-` without a value.
fn cell(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Describes whether a failure domain holds `version`, and if not, why.
fn state(domain: &Domain, version: Version) -> String {
    let Some(status) = &domain.status else {
        return "no status: no root has written one yet".to_owned();
    };
    if domain.holds(version) {
        return "up to date".to_owned();
    }
    if status.newest < version {
        return "stale: the root had not seen the version at its last report".to_owned();
    }
    let laggards: Vec<String> = status.report.laggards.iter().map(laggard).collect();
    if laggards.is_empty() {
        return "behind".to_owned();
    }
    format!("behind: {}", laggards.join("; "))
}

/// Describes a node that does not hold the version.
fn laggard(laggard: &Laggard) -> String {
    let Laggard { node, held, reason } = laggard;
    match reason {
        Reason::Behind => format!("{node} holds {held}"),
        Reason::Refused(reason) => {
            format!("{node} holds {held} and rejected the version: {reason}")
        }
    }
}
