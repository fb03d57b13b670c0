//! Tests of the benchmark calculations: linear fits, `/proc` parsing, node roles and wire size
//! estimates.

use std::collections::BTreeMap;

use cicadagw_dev::measure::figures::{Figures, FleetFigures, quantile, trends};
use cicadagw_dev::measure::fit::Line;
use cicadagw_dev::measure::proc::{cpu_time, memory};
use cicadagw_dev::measure::role::{Dump, Role};
use cicadagw_dev::measure::wire::estimate;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;
use serde_json::{Value, json};

/// A line of `/proc/PID/stat`, cut short, of a process whose name has spaces and parentheses.
const STAT: &str = "7 (a (b) c d) S 1 7 7 0 -1 4194304 500 0 0 0 123 45 0 0 20 0 9 0 6000 1 2";

/// Some lines of `/proc/PID/status`.
const STATUS: &str = "Name:\tcicadagw\nVmRSS:\t   20480 kB\nRssAnon:\t    8192 kB\nThreads:\t9\n";

/// Returns the figures of a fleet of `nodes` nodes, with the single figure `value`.
fn fleet_figures(nodes: usize, value: f64) -> FleetFigures {
    let figures = Figures::from([("figure".into(), value)]);
    FleetFigures { nodes, figures }
}

/// Returns the dump of a node with `leases`, as pairs of scope and state, and with `children`
/// children.
fn dump(leases: &[(&str, &str)], children: usize) -> Dump {
    let leases: BTreeMap<_, _> = leases.iter().copied().collect();
    let children = vec![json!({ "node": "kochi-a-2" }); children];
    let dump: Value = json!({ "children": children, "leases": leases, "path": [], "uplink": "" });
    serde_json::from_value(dump).unwrap()
}

/// Returns whether two numbers are equal up to rounding errors.
fn approx_eq(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

#[test]
fn a_fit_to_collinear_points_passes_through_them() {
    let points = [(12.0, 34.0), (24.0, 58.0), (96.0, 202.0)];

    let line = Line::fit(&points).unwrap();

    assert!(approx_eq(line.slope, 2.0) && approx_eq(line.intercept, 10.0));
    assert!(approx_eq(line.at(1_300.0), 2_610.0));
}

#[test]
fn a_fit_to_scattered_points_minimizes_squared_errors() {
    let points = [(0.0, 1.0), (0.0, 3.0), (10.0, 11.0), (10.0, 13.0)];

    let line = Line::fit(&points).unwrap();

    assert!(approx_eq(line.slope, 1.0) && approx_eq(line.intercept, 2.0));
}

#[test]
fn points_with_a_single_x_value_have_no_fit() {
    let lines = [
        Line::fit(&[]),
        Line::fit(&[(12.0, 1.0)]),
        Line::fit(&[(12.0, 1.0), (12.0, 2.0)]),
    ];

    assert_eq!(lines, [None; 3]);
}

#[test]
fn a_trend_extrapolates_to_the_target_sizes() {
    // Both points lie on y = x + 10; 163 nodes in each of 4 failure domains are 652 nodes.
    let fleets = [fleet_figures(10, 20.0), fleet_figures(20, 30.0)];

    let trends = trends(&fleets, 4);

    let trend = trends["figure"];
    assert!(approx_eq(trend.extrapolated_at_163_per_domain, 662.0));
    assert!(approx_eq(trend.extrapolated_at_1300, 1_310.0));
}

#[test]
fn a_quantile_is_one_of_the_values() {
    let values = [4.0, 1.0, 3.0, 2.0];

    let quantiles = [0.0, 0.5, 0.99, 1.0].map(|share| quantile(&values, share));

    assert_eq!(quantiles, [Some(1.0), Some(2.0), Some(4.0), Some(4.0)]);
    assert_eq!(quantile(&[], 0.5), None);
}

#[test]
fn cpu_time_is_the_sum_of_user_and_system_time() {
    let time = cpu_time(STAT);

    assert_eq!(time, Some(Span::new(1_680)));
}

#[test]
fn memory_in_kilobytes_is_converted_to_bytes() {
    let memory = memory(STATUS).unwrap();

    assert_eq!(memory.resident, Bytes::new(20 << 20));
    assert_eq!(memory.anonymous, Bytes::new(8 << 20));
}

#[test]
fn malformed_proc_files_are_not_parsed() {
    let times = ["", "7 (name) S 1", "no name"].map(cpu_time);

    assert_eq!(times, [None; 3]);
    assert_eq!(memory("VmRSS:\t1 pages\n"), None);
}

#[test]
fn the_widest_scope_of_held_leases_determines_the_role() {
    let held = |scopes: &[&'static str]| {
        let leases: Vec<_> = scopes.iter().map(|scope| (*scope, "held")).collect();
        Role::from(&dump(&leases, 3))
    };

    let roles = [
        held(&["domain", "fleet", "region"]),
        held(&["domain", "region"]),
        held(&["domain"]),
    ];

    assert_eq!(roles, [Role::FleetRoot, Role::RegionRoot, Role::DomainRoot]);
}

#[test]
fn a_lease_with_an_unconfirmed_renewal_counts_as_held() {
    let roles = ["renewing", "doubting"].map(|state| Role::from(&dump(&[("domain", state)], 0)));

    assert_eq!(roles, [Role::DomainRoot; 2]);
}

#[test]
fn a_node_without_leases_is_a_leaf_or_interior_by_its_children() {
    let watching = [("domain", "watching"), ("region", "unknown")];

    let roles = [0, 1].map(|children| Role::from(&dump(&watching, children)));

    assert_eq!(roles, [Role::Leaf, Role::Interior]);
}

#[test]
fn a_wire_estimate_adds_envelopes_frames_segments_and_responses() {
    // JSON-RPC envelope 76, WebSocket frame 6, response frame 41; TCP and IP headers of a segment
    // and of its acknowledgement 2 * 52.
    let small = estimate(Bytes::new(200), 2);
    let large = estimate(Bytes::new(2_000), 1);

    assert_eq!(small, Bytes::new(200 + 2 * (76 + 6 + 41 + 104)));
    assert_eq!(large, Bytes::new(2_000 + 76 + 6 + 41 + 2 * 104));
    assert_eq!(estimate(Bytes::default(), 0), Bytes::default());
}
