//! Tests of a fleet of gossiping nodes: membership, propagation of endpoints and configurations,
//! and that versions never decrease.

mod support;

use cicadagw_endpoint::State;
use cicadagw_gossip::{Event, Message};
use cicadagw_unit::time::Span;
use quickcheck::{Gen, QuickCheck};
use support::{Fleet, address, local, snapshot};

/// Size and seed of the generated test cases, and how many are run.
const SIZE: usize = 12;
const SEED: u64 = 3;
const CASES: u64 = 40;

/// Time within which a change must reach every node.
const PROPAGATION_MAX: Span = Span::new(2_500);

/// Budget of a node for control traffic, in bytes per second.
const CONTROL_BYTES_PER_SECOND: usize = 3_000;

/// Budget of a node for messages to other regions until all nodes have discovered each other, in
/// bytes: its control budget of three seconds.
const CROSS_REGION_BYTES_MAX: usize = 3 * CONTROL_BYTES_PER_SECOND;

/// Time within which nodes must discover each other, as the platform's documentation requires.
const DISCOVERY_MAX: Span = Span::seconds(3);

/// Creates `count` nodes that have discovered each other, with an endpoint each and a
/// configuration.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count);
    fleet.publish_configuration(1);
    fleet.run(DISCOVERY_MAX);
    for index in 0..count {
        let update = local(&format!("i-{index}"), State::Ready);
        fleet.step(index, Event::Local(update));
    }
    fleet.run(Span::new(500));
    fleet
}

#[test]
fn nodes_started_together_discover_all_members() {
    for count in [1, 2, 12, 60] {
        let fleet = fleet(count);

        assert_eq!(fleet.endpoint_counts(), vec![count; count]);
        assert_eq!(fleet.versions(), vec![1; count]);
    }
}

#[test]
fn cross_region_traffic_at_startup_stays_within_budget() {
    for count in [60, 120] {
        let fleet = fleet(count);

        let bytes_per_node = fleet.cross_region_bytes / count;
        assert!(
            bytes_per_node <= CROSS_REGION_BYTES_MAX,
            "{bytes_per_node} bytes per node to other regions, with {count} nodes"
        );
    }
}

#[test]
fn an_endpoint_of_a_restarted_node_reaches_all_regions_within_250_ms() {
    let mut fleet = fleet(60);
    fleet.restart(4, 9);
    fleet.run(Span::new(400));

    fleet.step(4, Event::Local(local("i-new", State::Ready)));
    fleet.run(Span::new(250));

    let informed = fleet.nodes.iter().filter(|node| {
        let mut endpoints = node.view.endpoints.values().flatten();
        endpoints.any(|record| record.endpoint.as_str() == "i-new")
    });
    assert_eq!(informed.count(), 60);
}

#[test]
fn the_response_to_a_differing_digest_fits_one_datagram() {
    // The table is so large that the stamps of all records would not fit.
    let mut fleet = fleet(120);
    let differing = Message::Digest {
        rollouts: 0,
        from: "node-0002".parse().unwrap(),
        digest: 0,
        follows: false,
        version: fleet.nodes[0].core.version(),
    };
    let before = fleet.bytes;

    fleet.step(0, Event::Message(address(2), differing));

    let sent = fleet.bytes - before;
    assert!(
        sent <= cicadagw_gossip::message::DATAGRAM_MAX,
        "{sent} bytes sent"
    );
}

#[test]
fn a_drain_reaches_all_nodes_within_150_ms_while_the_platform_is_unavailable() {
    let mut fleet = fleet(12);
    fleet.platform.unavailable_to = (0..12).collect();

    fleet.step(3, Event::Local(local("i-3", State::Draining)));
    fleet.run(Span::new(150));

    assert_eq!(fleet.endpoint_counts(), vec![11; 12]);
}

#[test]
fn a_drain_reaches_all_nodes_despite_message_loss() {
    let mut fleet = fleet(12);
    fleet.loss_permille = 400;

    fleet.step(3, Event::Local(local("i-3", State::Draining)));
    fleet.run(PROPAGATION_MAX);

    assert_eq!(fleet.endpoint_counts(), vec![11; 12]);
}

#[test]
fn a_configuration_reaches_nodes_without_access_to_the_platform() {
    let mut fleet = fleet(12);
    fleet.platform.unavailable_to = [0, 3, 4, 7, 9].into();

    fleet.publish_configuration(2);
    fleet.run(PROPAGATION_MAX);

    assert_eq!(fleet.versions(), vec![2; 12]);
}

#[test]
fn configurations_in_quick_succession_cost_few_platform_requests() {
    let mut fleet = fleet(12);
    let before: usize = fleet.nodes.iter().map(|node| node.requests).sum();

    for version in 2..=26 {
        fleet.publish_configuration(version);
        fleet.run(Span::new(200));
    }
    fleet.run(PROPAGATION_MAX);

    let after: usize = fleet.nodes.iter().map(|node| node.requests).sum();
    assert_eq!(fleet.versions(), vec![26; 12]);
    // Each of 6 watchers, three in each of two regions, makes at most 16 requests: ten in the 5.0 s
    // of the changes, since two requests are at least 0.5 s apart, and a few after them. Each of
    // the 12 nodes may list the nodes once.
    assert!(
        after - before <= 6 * 16 + 12,
        "{} platform requests",
        after - before
    );
}

#[test]
fn an_isolated_node_catches_up_after_reconnection() {
    let mut fleet = fleet(12);
    fleet.isolated = [5].into();
    fleet.platform.unavailable_to = [5].into();
    fleet.step(2, Event::Local(local("i-2", State::Gone)));
    fleet.step(5, Event::Local(local("i-5", State::Gone)));
    fleet.publish_configuration(2);
    fleet.run(Span::seconds(8));

    fleet.isolated.clear();
    fleet.platform.unavailable_to.clear();
    fleet.run(Span::seconds(4));

    assert_eq!(fleet.endpoint_counts(), vec![10; 12]);
    assert_eq!(fleet.versions(), vec![2; 12]);
}

#[test]
fn a_restarted_node_relearns_all_state_and_its_old_endpoint_is_removed() {
    let mut fleet = fleet(12);
    fleet.restart(4, 9);

    fleet.run(Span::new(1_000));

    assert_eq!(fleet.endpoint_counts(), vec![11; 12]);
    assert_eq!(fleet.versions(), vec![1; 12]);
}

#[test]
fn a_node_restarted_with_an_earlier_clock_still_publishes_updates() {
    let mut fleet = fleet(4);
    fleet.restart(2, 0);
    fleet.run(Span::new(1_500));

    fleet.step(2, Event::Local(local("i-new", State::Ready)));
    fleet.run(Span::new(500));

    assert_eq!(fleet.endpoint_counts(), vec![4; 4]);
}

#[test]
fn a_simultaneous_restart_of_all_nodes_recovers() {
    let mut fleet = fleet(12);
    for index in 0..12 {
        fleet.restart(index, 2);
    }

    fleet.run(DISCOVERY_MAX);

    assert_eq!(fleet.versions(), vec![1; 12]);
    let members = fleet.nodes.iter().map(|node| node.view.members);
    assert_eq!(members.collect::<Vec<_>>(), vec![12; 12]);
}

#[test]
fn the_configuration_is_reread_after_the_platform_compacts_its_history() {
    let mut fleet = fleet(3);
    fleet.platform.has_compacted = true;
    fleet.publish_configuration(2);
    fleet.run(Span::new(1_000));
    fleet.platform.has_compacted = false;

    fleet.run(PROPAGATION_MAX);

    assert_eq!(fleet.versions(), vec![2; 3]);
}

#[test]
fn a_lower_version_is_not_applied() {
    let mut fleet = fleet(3);
    fleet.publish_configuration(7);
    fleet.run(PROPAGATION_MAX);

    fleet.publish_configuration(5);
    fleet.run(PROPAGATION_MAX);

    assert_eq!(fleet.versions(), vec![7; 3]);
}

#[test]
fn the_endpoints_of_a_leaving_node_are_removed() {
    let mut fleet = fleet(12);

    fleet.step(1, Event::Shutdown);
    fleet.run(Span::new(150));

    assert_eq!(fleet.endpoint_counts(), vec![11; 12]);
}

#[test]
fn a_late_update_of_a_replaced_endpoint_is_ignored() {
    let mut fleet = fleet(3);
    fleet.step(1, Event::Local(local("i-next", State::Ready)));

    fleet.step(1, Event::Local(local("i-1", State::Gone)));
    fleet.run(Span::new(500));

    assert_eq!(fleet.endpoint_counts(), vec![3; 3]);
}

#[test]
fn an_idle_node_stays_within_its_control_budget() {
    for size in [6, 60, 120] {
        let mut fleet = fleet(size);
        fleet.run(Span::seconds(5));
        let before = fleet.bytes;

        fleet.run(Span::seconds(10));

        let bytes_per_second = (fleet.bytes - before) / 10 / size;
        assert!(
            bytes_per_second <= CONTROL_BYTES_PER_SECOND,
            "{bytes_per_second} bytes per second and node, with {size} nodes"
        );
    }
}

/// Size of the largest fleet for which the requests at startup are counted.
const LARGE_FLEET: usize = 295;

#[test]
fn nodes_started_together_read_a_configuration_once_in_each_region() {
    let mut fleet = Fleet::new(LARGE_FLEET);
    fleet.publish_configuration(1);

    fleet.run(DISCOVERY_MAX);

    assert_eq!(fleet.versions(), vec![1; LARGE_FLEET]);
    assert!(fleet.config_reads <= 12, "{} reads", fleet.config_reads);
}

#[test]
fn nodes_started_before_the_configuration_read_it_rarely() {
    let mut fleet = Fleet::new(LARGE_FLEET);
    fleet.run(Span::seconds(6));
    fleet.publish_configuration(1);

    fleet.run(PROPAGATION_MAX);

    assert_eq!(fleet.versions(), vec![1; LARGE_FLEET]);
    assert!(
        fleet.config_reads < 2 * LARGE_FLEET,
        "{} reads",
        fleet.config_reads
    );
}

#[test]
fn notices_are_logged_in_order() {
    let mut fleet = Fleet::new(2);
    fleet.publish_configuration(1);
    fleet.run(Span::seconds(1));
    fleet.step(1, Event::Local(local("i-1", State::Ready)));
    fleet.run(Span::new(200));
    fleet.platform.unavailable_to = [0].into();
    fleet.publish_configuration(4);
    fleet.run(PROPAGATION_MAX);
    fleet.platform.unavailable_to.clear();
    fleet.run(PROPAGATION_MAX);
    fleet.step(1, Event::Local(local("i-1", State::Draining)));
    fleet.step(1, Event::Local(local("i-1", State::Gone)));
    fleet.run(Span::new(200));

    insta::assert_debug_snapshot!(fleet.nodes[0].notices);
}

#[test]
fn nodes_converge_after_any_isolation_message_loss_and_restarts() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        const COUNT: usize = 6;
        let mut fleet = fleet(COUNT);
        let mut version = 1;
        let mut start_ms = 1;
        let mut held = vec![1; COUNT];
        for (kind, number) in steps {
            let index = usize::from(number) % COUNT;
            match kind % 8 {
                0 => drop(fleet.isolated.insert(index)),
                1 => drop(fleet.isolated.remove(&index)),
                2 => drop(fleet.platform.unavailable_to.insert(index)),
                3 => drop(fleet.platform.unavailable_to.remove(&index)),
                4 => {
                    version += u64::from(number) + 1;
                    fleet.publish_configuration(version);
                }
                5 => {
                    start_ms += 1;
                    fleet.restart(index, start_ms);
                    held[index] = 0;
                }
                6 => fleet.loss_permille = u32::from(number) * 2,
                _ => {
                    let state = [State::Ready, State::Draining, State::Gone][index % 3];
                    let name = format!("i-{index}-{}", number % 2);
                    fleet.step(index, Event::Local(local(&name, state)));
                }
            }
            fleet.run(Span::new(u64::from(number) * 4));
            let versions = fleet.versions();
            if versions.iter().zip(&held).any(|(now, before)| now < before) {
                return false;
            }
            held = versions;
        }
        fleet.isolated.clear();
        fleet.platform.unavailable_to.clear();
        fleet.loss_permille = 0;
        fleet.run(Span::seconds(20));
        let endpoints = fleet.endpoint_counts();
        fleet.versions() == vec![version; COUNT]
            && endpoints.iter().all(|&count| count == endpoints[0])
    }

    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn truncated_messages_are_rejected() {
    let whole = Message::Digest {
        rollouts: 0,
        from: "node-0001".parse().unwrap(),
        digest: 7,
        follows: true,
        version: snapshot(3).stamp.version,
    };
    let bytes = whole.encode();

    assert_eq!(Message::decode(&bytes).unwrap(), whole);
    for length in 0..bytes.len() {
        assert!(
            Message::decode(&bytes[..length]).is_err(),
            "first {length} bytes"
        );
    }
}

/// Guards against nodes that have left and count as members after a restart of all others: these
/// waited for them to watch the platform and to pass on configurations.
#[test]
fn nodes_that_have_left_are_no_members_after_a_restart_of_all_others() {
    const LIVE: usize = 12;
    const REPLACED: usize = 120;
    let mut fleet = Fleet::new(LIVE + REPLACED);
    fleet.publish_configuration(1);
    fleet.run(Span::seconds(5));
    for index in LIVE..LIVE + REPLACED {
        fleet.step(index, Event::Shutdown);
    }
    fleet.run(Span::seconds(1));
    fleet.frozen = (LIVE..LIVE + REPLACED).collect();

    for index in 0..LIVE {
        fleet.restart_now(index);
    }
    fleet.run(Span::seconds(4));
    fleet.publish_configuration(2);
    fleet.run(Span::seconds(3));

    assert_eq!(fleet.versions()[..LIVE], [2; LIVE]);
    let members = fleet.nodes[..LIVE]
        .iter()
        .map(|node| node.core.table().iter().count());
    assert_eq!(members.collect::<Vec<_>>(), [LIVE; LIVE]);
}
