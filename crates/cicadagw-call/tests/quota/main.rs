//! Quotas hold over all nodes together, whatever fails, and no call below a quota is refused.

#![allow(unreachable_pub, reason = "the fixtures are modules of this test")]

mod network;
mod share;

use cicadagw_call::quota::{State, chart};
use network::{Network, bound, quota};

/// The seeds of the random schedules.
const SEEDS: std::ops::Range<u64> = 0..6;

#[test]
fn chart_is_valid() {
    assert_eq!(chart().initial(), State::Open);
}

#[test]
fn usual_traffic_is_not_refused() {
    for (usual, limit) in [(423, quota(677, 677)), (5, quota(8, 8)), (2, quota(3, 3))] {
        let mut network = Network::new(64, limit, 1);

        network.run(10_000, usual, 0..64);

        assert_eq!(network.refused_below_quota(), 0, "{limit:?}");
    }
}

#[test]
fn calls_are_not_refused_when_all_callers_move_to_another_failure_domain() {
    for (usual, limit) in [(423, quota(677, 677)), (5, quota(8, 8))] {
        let mut network = Network::new(64, limit, 2);
        network.run(5_000, usual, 0..16);

        network.run(5_000, usual, 48..64);

        assert_eq!(network.refused_below_quota(), 0, "{limit:?}");
    }
}

#[test]
fn account_far_above_its_quota_gets_its_quota_and_no_more() {
    // At one node, and at all nodes.
    for (nodes, usual, limit) in [(5..6, 125, quota(200, 200)), (0..64, 423, quota(677, 677))] {
        let mut network = Network::new(64, limit, 3);
        network.run(5_000, usual, nodes.clone());
        assert_eq!(network.refused_below_quota(), 0);

        network.run(10_000, usual * 15 / 2, nodes);

        let in_10_s = usize::try_from(limit.rate.milli()).unwrap() / 100;
        let allowed = usize::try_from(usual).unwrap() * 5 + in_10_s;
        let taken = network.taken();
        assert!(taken >= allowed * 9 / 10, "{taken} of {allowed} calls");
        let most = network.most_in_window();
        assert!(most <= bound(limit), "{most} calls in a window");
    }
}

#[test]
fn usual_traffic_is_not_refused_while_an_owner_is_down() {
    let mut network = Network::new(64, quota(677, 677), 5);
    network.run(5_000, 423, 0..64);

    network.kill(16, 3_500);
    network.run(8_000, 423, 0..64);

    assert_eq!(network.refused_below_quota(), 0);
}

#[test]
fn quota_is_available_again_two_seconds_after_a_restart_of_all_nodes() {
    let limit = quota(677, 677);
    let mut network = Network::new(64, limit, 7);
    network.run(5_000, 423, 0..64);

    (0..64).for_each(|node| network.kill(node, 2_000));
    network.run(4_000, 423, 0..64);
    network.calls.retain(|(_, is_taken)| *is_taken);
    network.run(5_000, 423, 0..64);

    assert_eq!(network.refused_below_quota(), 0);
    let most = network.most_in_window();
    assert!(most <= bound(limit), "{most} calls in a window");
}

#[test]
fn lower_quota_binds_within_the_lifetime_of_grants() {
    let mut network = Network::new(64, quota(677, 677), 6);
    network.run(5_000, 423, 0..64);

    network.quota = quota(50, 50);
    network.run(3_000, 423, 0..64);
    network.calls.clear();
    network.run(10_000, 423, 0..64);

    let most = network.most_in_window();
    assert!(most <= bound(network.quota), "{most} calls in a window");
}

#[test]
fn quota_is_never_exceeded_whatever_fails() {
    for limit in [quota(300, 300), quota(8, 8), quota(100, 0)] {
        for seed in SEEDS {
            let mut network = Network::new(24, limit, seed);
            let (mut first, mut per_second) = (0, 400);
            for _ in 0..10 {
                let node = usize::try_from(network.random(24)).unwrap();
                match network.random(6) {
                    0 => {
                        let for_ms = network.random(3_000);
                        network.kill(node, for_ms);
                    }
                    1 => network.cut = (node..24).step_by(3).collect(),
                    2 => network.cut.clear(),
                    3 => network.loss_permille = network.random(500),
                    4 => first = node,
                    _ => per_second = network.random(3_000),
                }
                let ms = 200 + network.random(1_500);
                network.run(ms, per_second, first..24);
            }

            let most = network.most_in_window();
            assert!(most <= bound(limit), "seed {seed}, {limit:?}: {most} calls");
        }
    }
}
