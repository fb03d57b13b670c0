//! Lines, readings of the system's texts, roles and estimates of the measuring program.

use std::collections::BTreeMap;

use cicadagw_dev::measure::figures::{Figures, Size, quantile, trends};
use cicadagw_dev::measure::fit::Line;
use cicadagw_dev::measure::proc::{memory, processor_time};
use cicadagw_dev::measure::role::{Dump, Role};
use cicadagw_dev::measure::wire::estimate;
use cicadagw_unit::size::Bytes;
use cicadagw_unit::time::Span;
use serde_json::{Value, json};

/// A part of `/proc/PID/stat` of a process whose name holds spaces and parentheses.
const STAT: &str = "7 (a (b) c d) S 1 7 7 0 -1 4194304 500 0 0 0 123 45 0 0 20 0 9 0 6000 1 2";

/// A part of `/proc/PID/status`.
const STATUS: &str = "Name:\tcicadagw\nVmRSS:\t   20480 kB\nRssAnon:\t    8192 kB\nThreads:\t9\n";

fn size(nodes: usize, value: f64) -> Size {
    let figures = Figures::from([("figure".into(), value)]);
    Size { nodes, figures }
}

fn dump(leases: &[(&str, &str)], children: usize) -> Dump {
    let leases: BTreeMap<_, _> = leases.iter().copied().collect();
    let children = vec![json!({ "node": "kochi-a-2" }); children];
    let dump: Value = json!({ "children": children, "leases": leases, "path": [], "uplink": "" });
    serde_json::from_value(dump).unwrap()
}

/// Tells whether two numbers are the same but for rounding.
fn near(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

#[test]
fn a_line_goes_through_points_on_it() {
    let points = [(12.0, 34.0), (24.0, 58.0), (96.0, 202.0)];

    let line = Line::fit(&points).unwrap();

    assert!(near(line.slope, 2.0) && near(line.intercept, 10.0));
    assert!(near(line.at(1_300.0), 2_610.0));
}

#[test]
fn a_line_lies_between_points_beside_it() {
    let points = [(0.0, 1.0), (0.0, 3.0), (10.0, 11.0), (10.0, 13.0)];

    let line = Line::fit(&points).unwrap();

    assert!(near(line.slope, 1.0) && near(line.intercept, 2.0));
}

#[test]
fn one_size_makes_no_line() {
    let lines = [
        Line::fit(&[]),
        Line::fit(&[(12.0, 1.0)]),
        Line::fit(&[(12.0, 1.0), (12.0, 2.0)]),
    ];

    assert_eq!(lines, [None; 3]);
}

#[test]
fn a_trend_reads_the_size_aimed_at() {
    let sizes = [size(10, 20.0), size(20, 30.0)];

    let trends = trends(&sizes, 4);

    let trend = trends["figure"];
    assert!(near(trend.extrapolated_at_163_per_domain, 662.0));
    assert!(near(trend.extrapolated_at_1300, 1_310.0));
}

#[test]
fn a_quantile_is_a_measured_value() {
    let values = [4.0, 1.0, 3.0, 2.0];

    let quantiles = [0.0, 0.5, 0.99, 1.0].map(|share| quantile(&values, share));

    assert_eq!(quantiles, [Some(1.0), Some(2.0), Some(4.0), Some(4.0)]);
    assert_eq!(quantile(&[], 0.5), None);
}

#[test]
fn processor_time_is_that_of_user_and_system_mode() {
    let time = processor_time(STAT);

    assert_eq!(time, Some(Span::new(1_680)));
}

#[test]
fn memory_is_read_in_bytes() {
    let memory = memory(STATUS).unwrap();

    assert_eq!(memory.resident, Bytes::new(20 << 20));
    assert_eq!(memory.anonymous, Bytes::new(8 << 20));
}

#[test]
fn texts_of_another_form_tell_nothing() {
    let times = ["", "7 (name) S 1", "no name"].map(processor_time);

    assert_eq!(times, [None; 3]);
    assert_eq!(memory("VmRSS:\t1 pages\n"), None);
}

#[test]
fn the_highest_lease_held_is_the_role() {
    let held = |ranks: &[&'static str]| {
        let leases: Vec<_> = ranks.iter().map(|rank| (*rank, "held")).collect();
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
fn a_lease_under_renewal_is_held() {
    let roles = ["renewing", "doubting"].map(|state| Role::from(&dump(&[("domain", state)], 0)));

    assert_eq!(roles, [Role::DomainRoot; 2]);
}

#[test]
fn nodes_without_leases_are_told_apart_by_their_children() {
    let watching = [("domain", "watching"), ("region", "unknown")];

    let roles = [0, 1].map(|children| Role::from(&dump(&watching, children)));

    assert_eq!(roles, [Role::Leaf, Role::Interior]);
}

#[test]
fn the_wire_takes_frames_segments_and_answers() {
    let small = estimate(Bytes::new(200), 2);
    let large = estimate(Bytes::new(2_000), 1);

    assert_eq!(small, Bytes::new(200 + 2 * (76 + 6 + 41 + 104)));
    assert_eq!(large, Bytes::new(2_000 + 76 + 6 + 41 + 2 * 104));
    assert_eq!(estimate(Bytes::default(), 0), Bytes::default());
}
