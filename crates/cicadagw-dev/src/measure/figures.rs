//! Measured figures by their name, and what they tell of other sizes.

use std::collections::BTreeMap;

use compact_str::CompactString;

use super::fit::Line;

/// How many nodes the whole fleet is to have.
const FLEET: f64 = 1_300.0;

/// How many nodes a failure domain of that fleet has.
const DOMAIN: f64 = 163.0;

/// Figures by their name, which ends in the unit.
pub type Figures = BTreeMap<CompactString, f64>;

/// The figures of one size of the fleet.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Size {
    /// How many nodes there were.
    pub nodes: usize,
    /// What was measured.
    pub figures: Figures,
}

/// A figure over the sizes, and what the line through it tells of the size aimed at.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Trend {
    /// The line over the number of nodes.
    #[serde(flatten)]
    pub line: Line,
    /// The reading at 163 nodes in each failure domain measured.
    pub extrapolated_at_163_per_domain: f64,
    /// The reading at 1,300 nodes.
    pub extrapolated_at_1300: f64,
}

/// Fits a line through each figure that two sizes or more have.
pub fn trends(sizes: &[Size], domains: usize) -> BTreeMap<CompactString, Trend> {
    let mut points: BTreeMap<&CompactString, Vec<(f64, f64)>> = BTreeMap::new();
    for size in sizes {
        for (name, value) in &size.figures {
            let point = (size.nodes as f64, *value);
            points.entry(name).or_default().push(point);
        }
    }
    let trend = |(name, points): (&CompactString, Vec<(f64, f64)>)| {
        let line = Line::fit(&points)?;
        let trend = Trend {
            line,
            extrapolated_at_163_per_domain: line.at(DOMAIN * domains as f64),
            extrapolated_at_1300: line.at(FLEET),
        };
        Some((name.clone(), trend))
    };
    points.into_iter().filter_map(trend).collect()
}

/// Returns the mean; zero of nothing.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the value that `share` of the values do not exceed; `None` of nothing.
pub fn quantile(values: &[f64], share: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil().max(1.0);
    // The rank is a small whole number.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    sorted.get(rank as usize - 1).copied()
}
