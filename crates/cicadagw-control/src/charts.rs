//! The state charts of this crate, embedded in the binary and checked when they are loaded.

use cicadagw_chart::{Chart, Name};
use cicadagw_finding::Findings;

use crate::{adopt, lease, uplink};

/// All state charts of this crate.
#[derive(Clone, Debug)]
pub(crate) struct Charts {
    pub(crate) adopt: adopt::Chart,
    pub(crate) lease: lease::Chart,
    pub(crate) uplink: uplink::Chart,
}

impl Charts {
    /// Loads the embedded charts.
    ///
    /// # Errors
    ///
    /// Returns the findings of all charts, each with its location, if a chart is invalid.
    pub(crate) fn load() -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let adopt = chart(
            "charts/adopt.jsonc",
            include_str!("../../../charts/adopt.jsonc"),
            &mut findings,
        );
        let lease = chart(
            "charts/lease.jsonc",
            include_str!("../../../charts/lease.jsonc"),
            &mut findings,
        );
        let uplink = chart(
            "charts/uplink.jsonc",
            include_str!("../../../charts/uplink.jsonc"),
            &mut findings,
        );
        match (adopt, lease, uplink) {
            (Some(adopt), Some(lease), Some(uplink)) => Ok(Self {
                adopt,
                lease,
                uplink,
            }),
            _ => Err(findings),
        }
    }
}

/// Loads one chart; adds what is wrong with it to `findings`.
fn chart<S: Name, E: Name, G: Name, A: Name>(
    source: &str,
    text: &str,
    findings: &mut Findings,
) -> Option<Chart<S, E, G, A>> {
    Chart::load(source, text)
        .map_err(|found| findings.append(found))
        .ok()
}
