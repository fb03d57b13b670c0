//! Nodes meet, learn of endpoints and configurations, and never go back.

mod support;

use cicadagw_endpoint::State;
use cicadagw_gossip::{Event, Message};
use cicadagw_unit::time::Span;
use quickcheck::{Gen, QuickCheck};
use support::{Fleet, local, snapshot};

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 12;
const SEED: u64 = 3;
const CASES: u64 = 40;

/// How long a change may take to every node.
const BOUND: Span = Span::new(2_500);

/// What a node may spend for control, in bytes a second.
const CONTROL: usize = 3_000;

/// How much a node may say to other regions until all have met, in bytes: what it may spend for control
/// in three seconds.
const FAR: usize = 3 * CONTROL;

/// How long the platform's page allows nodes to find each other.
const MEETING: Span = Span::seconds(3);

/// Nodes that have met, with an endpoint each and a configuration.
fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count);
    fleet.configure(1);
    fleet.run(MEETING);
    for index in 0..count {
        let news = local(&format!("i-{index}"), State::Ready);
        fleet.step(index, Event::Local(news));
    }
    fleet.run(Span::new(500));
    fleet
}

#[test]
fn nodes_that_start_together_know_all_of_each_other() {
    for count in [1, 2, 12, 60] {
        let fleet = fleet(count);

        assert_eq!(fleet.endpoints(), vec![count; count]);
        assert_eq!(fleet.versions(), vec![1; count]);
    }
}

#[test]
fn nodes_that_start_together_say_little_to_other_regions() {
    for count in [60, 120] {
        let fleet = fleet(count);

        let each = fleet.far_bytes / count;
        assert!(each <= FAR, "{each} bytes at {count} nodes");
    }
}

#[test]
fn a_node_that_starts_anew_is_known_in_other_regions_at_once() {
    let mut fleet = fleet(60);
    fleet.restart(4, 9);
    fleet.run(Span::new(400));

    fleet.step(4, Event::Local(local("i-new", State::Ready)));
    fleet.run(Span::new(250));

    let knowing = fleet.nodes.iter().filter(|node| {
        let mut endpoints = node.view.endpoints.values().flatten();
        endpoints.any(|record| record.endpoint.as_str() == "i-new")
    });
    assert_eq!(knowing.count(), 60);
}

#[test]
fn tables_that_differ_are_compared_part_by_part() {
    let mut fleet = fleet(120);
    let differs = Message::Digest {
        from: "node-0002".parse().unwrap(),
        digest: 0,
        follows: false,
        version: fleet.nodes[0].core.version(),
    };
    let before = fleet.bytes;

    fleet.step(0, Event::Message(differs));

    let said = fleet.bytes - before;
    assert!(said <= cicadagw_gossip::message::SIZE_MAX, "{said} bytes");
}

#[test]
fn a_drain_is_known_everywhere_at_once_without_the_platform() {
    let mut fleet = fleet(12);
    fleet.platform.turned_away = (0..12).collect();

    fleet.step(3, Event::Local(local("i-3", State::Draining)));
    fleet.run(Span::new(150));

    assert_eq!(fleet.endpoints(), vec![11; 12]);
}

#[test]
fn a_drain_is_known_everywhere_although_messages_are_lost() {
    let mut fleet = fleet(12);
    fleet.loss = 400;

    fleet.step(3, Event::Local(local("i-3", State::Draining)));
    fleet.run(BOUND);

    assert_eq!(fleet.endpoints(), vec![11; 12]);
}

#[test]
fn a_configuration_is_in_force_everywhere_although_some_are_turned_away() {
    let mut fleet = fleet(12);
    fleet.platform.turned_away = [0, 3, 4, 7, 9].into();

    fleet.configure(2);
    fleet.run(BOUND);

    assert_eq!(fleet.versions(), vec![2; 12]);
}

#[test]
fn configurations_in_quick_succession_cost_few_calls() {
    let mut fleet = fleet(12);
    let before: usize = fleet.nodes.iter().map(|node| node.calls).sum();

    for version in 2..=26 {
        fleet.configure(version);
        fleet.run(Span::new(200));
    }
    fleet.run(BOUND);

    let after: usize = fleet.nodes.iter().map(|node| node.calls).sum();
    assert_eq!(fleet.versions(), vec![26; 12]);
    // Three followers in each of two regions, ten waits of at least 0.5 s in the 5.0 s of the changes,
    // a few behind them, and a list of each node now and then.
    assert!(after - before <= 6 * 16 + 12, "{} calls", after - before);
}

#[test]
fn a_node_that_was_cut_off_catches_up() {
    let mut fleet = fleet(12);
    fleet.cut = [5].into();
    fleet.platform.turned_away = [5].into();
    fleet.step(2, Event::Local(local("i-2", State::Gone)));
    fleet.step(5, Event::Local(local("i-5", State::Gone)));
    fleet.configure(2);
    fleet.run(Span::seconds(8));

    fleet.cut.clear();
    fleet.platform.turned_away.clear();
    fleet.run(Span::seconds(4));

    assert_eq!(fleet.endpoints(), vec![10; 12]);
    assert_eq!(fleet.versions(), vec![2; 12]);
}

#[test]
fn a_node_that_starts_anew_knows_all_again_and_its_old_endpoint_is_gone() {
    let mut fleet = fleet(12);
    fleet.restart(4, 9);

    fleet.run(Span::new(1_000));

    assert_eq!(fleet.endpoints(), vec![11; 12]);
    assert_eq!(fleet.versions(), vec![1; 12]);
}

#[test]
fn a_node_whose_clock_went_back_is_heard_all_the_same() {
    let mut fleet = fleet(4);
    fleet.restart(2, 0);
    fleet.run(Span::new(1_500));

    fleet.step(2, Event::Local(local("i-new", State::Ready)));
    fleet.run(Span::new(500));

    assert_eq!(fleet.endpoints(), vec![4; 4]);
}

#[test]
fn all_nodes_that_start_anew_together_are_back_without_each_other() {
    let mut fleet = fleet(12);
    for index in 0..12 {
        fleet.restart(index, 2);
    }

    fleet.run(MEETING);

    assert_eq!(fleet.versions(), vec![1; 12]);
    let members = fleet.nodes.iter().map(|node| node.view.members);
    assert_eq!(members.collect::<Vec<_>>(), vec![12; 12]);
}

#[test]
fn a_platform_that_forgets_its_history_is_read_anew() {
    let mut fleet = fleet(3);
    fleet.platform.has_forgotten = true;
    fleet.configure(2);
    fleet.run(Span::new(1_000));
    fleet.platform.has_forgotten = false;

    fleet.run(BOUND);

    assert_eq!(fleet.versions(), vec![2; 3]);
}

#[test]
fn versions_never_fall() {
    let mut fleet = fleet(3);
    fleet.configure(7);
    fleet.run(BOUND);

    fleet.configure(5);
    fleet.run(BOUND);

    assert_eq!(fleet.versions(), vec![7; 3]);
}

#[test]
fn a_node_that_leaves_gets_no_work() {
    let mut fleet = fleet(12);

    fleet.step(1, Event::Leave);
    fleet.run(Span::new(150));

    assert_eq!(fleet.endpoints(), vec![11; 12]);
}

#[test]
fn late_news_of_a_replaced_endpoint_changes_nothing() {
    let mut fleet = fleet(3);
    fleet.step(1, Event::Local(local("i-next", State::Ready)));

    fleet.step(1, Event::Local(local("i-1", State::Gone)));
    fleet.run(Span::new(500));

    assert_eq!(fleet.endpoints(), vec![3; 3]);
}

#[test]
fn an_idle_node_sends_less_than_it_may_spend_for_control() {
    for size in [6, 60, 120] {
        let mut fleet = fleet(size);
        fleet.run(Span::seconds(5));
        let before = fleet.bytes;

        fleet.run(Span::seconds(10));

        let each = (fleet.bytes - before) / 10 / size;
        assert!(each <= CONTROL, "{each} bytes a second at {size} nodes");
    }
}

#[test]
fn a_whole_session() {
    let mut fleet = Fleet::new(2);
    fleet.configure(1);
    fleet.run(Span::seconds(1));
    fleet.step(1, Event::Local(local("i-1", State::Ready)));
    fleet.run(Span::new(200));
    fleet.platform.turned_away = [0].into();
    fleet.configure(4);
    fleet.run(BOUND);
    fleet.platform.turned_away.clear();
    fleet.run(BOUND);
    fleet.step(1, Event::Local(local("i-1", State::Draining)));
    fleet.step(1, Event::Local(local("i-1", State::Gone)));
    fleet.run(Span::new(200));

    insta::assert_debug_snapshot!(fleet.nodes[0].notes);
}

#[test]
fn whatever_is_cut_lost_and_restarted_all_agree_in_the_end() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        const COUNT: usize = 6;
        let mut fleet = fleet(COUNT);
        let mut version = 1;
        let mut start = 1;
        let mut held = vec![1; COUNT];
        for (kind, number) in steps {
            let index = usize::from(number) % COUNT;
            match kind % 8 {
                0 => drop(fleet.cut.insert(index)),
                1 => drop(fleet.cut.remove(&index)),
                2 => drop(fleet.platform.turned_away.insert(index)),
                3 => drop(fleet.platform.turned_away.remove(&index)),
                4 => {
                    version += u64::from(number) + 1;
                    fleet.configure(version);
                }
                5 => {
                    start += 1;
                    fleet.restart(index, start);
                    held[index] = 0;
                }
                6 => fleet.loss = u32::from(number) * 2,
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
        fleet.cut.clear();
        fleet.platform.turned_away.clear();
        fleet.loss = 0;
        fleet.run(Span::seconds(20));
        let endpoints = fleet.endpoints();
        fleet.versions() == vec![version; COUNT]
            && endpoints.iter().all(|&count| count == endpoints[0])
    }

    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn bytes_that_are_no_message_are_refused() {
    let whole = Message::Digest {
        from: "node-0001".parse().unwrap(),
        digest: 7,
        follows: true,
        version: snapshot(3).stamp.version,
    };
    let bytes = whole.encode();

    assert_eq!(Message::decode(&bytes).unwrap(), whole);
    for length in 0..bytes.len() {
        assert!(Message::decode(&bytes[..length]).is_err(), "{length}");
    }
}
