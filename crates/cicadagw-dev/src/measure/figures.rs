//! Measured figures by name, and their extrapolation to the fleet size that the system is built for.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::fit::Line;

/// The number of nodes of the fleet that the system is built for.
const TARGET_FLEET_NODES: f64 = 1_300.0;

/// The number of nodes in a failure domain of that fleet.
const TARGET_DOMAIN_NODES: f64 = 163.0;

/// Figures by name; a name ends in the unit.
pub type Figures = BTreeMap<CompactString, f64>;

/// The figures of one fleet size.
#[derive(Clone, Debug, serde::Serialize)]
pub struct FleetFigures {
    /// The number of nodes.
    pub nodes: usize,
    /// The figures measured.
    pub figures: Figures,
}

/// The linear trend of one figure over the fleet sizes, extrapolated to larger fleets.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Trend {
    /// The figure as a linear function of the number of nodes.
    #[serde(flatten)]
    pub line: Line,
    /// The extrapolated figure with 163 nodes in each of the failure domains that were measured.
    pub extrapolated_at_163_per_domain: f64,
    /// The extrapolated figure with 1,300 nodes.
    pub extrapolated_at_1300: f64,
}

/// Fits a line to each figure that was measured at two or more fleet sizes. Every fleet has
/// `domains` failure domains.
pub fn trends(fleets: &[FleetFigures], domains: usize) -> BTreeMap<CompactString, Trend> {
    let mut points: BTreeMap<&CompactString, Vec<(f64, f64)>> = BTreeMap::new();
    for fleet in fleets {
        for (name, value) in &fleet.figures {
            let point = (fleet.nodes as f64, *value);
            points.entry(name).or_default().push(point);
        }
    }
    let trend = |(name, points): (&CompactString, Vec<(f64, f64)>)| {
        let line = Line::fit(&points)?;
        let trend = Trend {
            line,
            extrapolated_at_163_per_domain: line.at(TARGET_DOMAIN_NODES * domains as f64),
            extrapolated_at_1300: line.at(TARGET_FLEET_NODES),
        };
        Some((name.clone(), trend))
    };
    points.into_iter().filter_map(trend).collect()
}

/// Returns the mean of `values`; zero if there are none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the smallest of `values` that at least the fraction `share` of them do not exceed; `None`
/// if there are none.
pub fn quantile(values: &[f64], share: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil().max(1.0);
    // The rank is a whole number between one and the count of the values.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    sorted.get(rank as usize - 1).copied()
}
