//! A backend server that has left stays so when the node beside it restarts.

mod support;

use cicadagw_endpoint::{Departure, Departures, LocalUpdate, State};
use cicadagw_gossip::{Event, Member};
use cicadagw_unit::time::Span;
use support::{Fleet, TICK, local};

/// The number of nodes, and the one that restarts.
const NODES: usize = 12;
const RESTARTED: usize = 3;

/// Time within which a change of an endpoint is known everywhere.
const PROPAGATION_MAX: Span = Span::new(250);

/// Time within which a departure is stored once the platform is available.
const STORED_MAX: Span = Span::new(600);

/// Time within which a restarted node and its peers know each other.
const DISCOVERY_MAX: Span = Span::seconds(3);

fn ready(endpoint: &str, started_ms: u64) -> Event {
    Event::Local(LocalUpdate {
        started_ms,
        ..local(endpoint, State::Ready)
    })
}

fn left(endpoint: &str, started_ms: u64, state: State) -> Event {
    Event::Local(LocalUpdate {
        has_left: true,
        started_ms,
        ..local(endpoint, state)
    })
}

/// Returns a fleet in which the backend server `i-leaving` of a node has left in `state`.
fn fleet_after_departure(state: State) -> Fleet {
    let mut fleet = Fleet::new(NODES);
    fleet.publish_configuration(1);
    fleet.run(DISCOVERY_MAX);
    fleet.step(RESTARTED, ready("i-leaving", 40));
    fleet.run(PROPAGATION_MAX);
    fleet.step(RESTARTED, left("i-leaving", 40, state));
    fleet.run(PROPAGATION_MAX);
    fleet
}

fn departure(endpoint: &str, started_ms: u64) -> Departure {
    Departure {
        endpoint: endpoint.parse().unwrap(),
        started_ms,
    }
}

// Guards against a restarted node that forgets a leaving which it has acknowledged: a delayed
// announcement then brought the backend server back.
#[test]
fn a_delayed_announcement_after_a_restart_does_not_bring_a_departed_endpoint_back() {
    for state in [State::Draining, State::Gone] {
        let mut fleet = fleet_after_departure(state);

        fleet.restart(RESTARTED, 9);
        fleet.run(Span::seconds(1));
        fleet.step(RESTARTED, ready("i-leaving", 40));
        fleet.run(PROPAGATION_MAX);

        assert_eq!(fleet.endpoint_counts(), vec![0; NODES], "{state:?}");
        let departures = &fleet.nodes[RESTARTED].view.departures;
        assert!(departures.contains(&"i-leaving".parse().unwrap(), 40));
    }
}

// The announcement may be the first thing that the restarted process hears.
#[test]
fn an_announcement_before_the_peers_are_known_is_ended_once_they_are() {
    let mut fleet = fleet_after_departure(State::Gone);

    fleet.restart(RESTARTED, 9);
    fleet.step(RESTARTED, ready("i-leaving", 40));
    fleet.run(DISCOVERY_MAX);

    assert_eq!(fleet.endpoint_counts(), vec![0; NODES]);
}

// With all processes killed at once, only the platform remembers.
#[test]
fn a_departure_outlives_the_restart_of_all_nodes() {
    let mut fleet = fleet_after_departure(State::Gone);

    for index in 0..NODES {
        fleet.restart(index, 9);
    }
    fleet.step(RESTARTED, ready("i-leaving", 40));
    fleet.run(DISCOVERY_MAX);
    let delayed = fleet.endpoint_counts();
    fleet.step(RESTARTED, ready("i-new", 50));
    fleet.run(Span::new(2_500));

    assert_eq!(delayed, vec![0; NODES]);
    assert_eq!(fleet.endpoint_counts(), vec![1; NODES]);
}

#[test]
fn a_departure_costs_one_write_to_the_platform() {
    let mut fleet = Fleet::new(NODES);
    fleet.run(DISCOVERY_MAX);
    fleet.step(RESTARTED, ready("i-leaving", 40));
    fleet.run(PROPAGATION_MAX);
    let before = fleet.platform.writes;

    fleet.step(RESTARTED, left("i-leaving", 40, State::Draining));
    fleet.run(Span::seconds(3));
    fleet.step(RESTARTED, left("i-leaving", 40, State::Gone));
    fleet.run(Span::seconds(3));

    assert_eq!(fleet.platform.writes - before, 1);
}

#[test]
fn a_new_backend_server_on_the_host_is_taken_in_at_once() {
    for (endpoint, started_ms) in [("i-new", 30), ("i-leaving", 41)] {
        let mut fleet = fleet_after_departure(State::Gone);

        fleet.restart(RESTARTED, 9);
        fleet.run(Span::seconds(1));
        fleet.step(RESTARTED, ready(endpoint, started_ms));
        fleet.run(PROPAGATION_MAX);

        assert_eq!(fleet.endpoint_counts(), vec![1; NODES], "{endpoint}");
    }
}

#[test]
fn a_backend_server_is_taken_in_again_after_its_node_was_stopped() {
    let mut fleet = Fleet::new(NODES);
    fleet.run(DISCOVERY_MAX);
    fleet.step(RESTARTED, ready("i-staying", 40));
    fleet.run(PROPAGATION_MAX);
    fleet.step(RESTARTED, Event::Shutdown);
    fleet.step(RESTARTED, Event::Local(local("i-staying", State::Gone)));
    fleet.run(PROPAGATION_MAX);

    fleet.restart(RESTARTED, 9);
    fleet.run(Span::seconds(1));
    fleet.step(RESTARTED, ready("i-staying", 40));
    fleet.run(PROPAGATION_MAX);

    assert_eq!(fleet.endpoint_counts(), vec![1; NODES]);
}

#[test]
fn only_the_last_departures_of_a_host_are_kept() {
    let mut departures = Departures::default();

    let recorded: Vec<bool> = ["a", "b", "a", "c", "d", "e"]
        .iter()
        .map(|endpoint| departures.record(&departure(endpoint, 1)))
        .collect();

    assert_eq!(recorded, [true, true, false, true, true, true]);
    let kept: Vec<_> = departures
        .iter()
        .map(|known| known.endpoint.as_str())
        .collect();
    assert_eq!(kept, ["b", "c", "d", "e"]);
}

// Guards against two nodes that send each other a list in another order without end.
#[test]
fn departures_that_are_known_or_do_not_fit_change_nothing() {
    let list = |endpoints: &[&str]| {
        let mut departures = Departures::default();
        for endpoint in endpoints {
            departures.record(&departure(endpoint, 1));
        }
        departures
    };
    let cases: [(&[&str], &[&str], &[&str]); 4] = [
        (&["a", "b"], &["b"], &["a", "b"]),
        (&["b"], &["a"], &["a", "b"]),
        (&["b", "c", "d", "e"], &["a"], &["b", "c", "d", "e"]),
        (&["c", "d", "e"], &["a", "b"], &["b", "c", "d", "e"]),
    ];

    for (known, earlier, expected) in cases {
        let mut departures = list(known);

        let has_changed = departures.restore(&list(earlier));

        assert_eq!(departures, list(expected));
        assert_eq!(has_changed, list(known) != list(expected));
    }
}

#[test]
fn a_record_of_another_writer_with_many_departures_is_cut_short() {
    let list: Vec<String> = (0..1_000)
        .map(|index| format!(r#"["i-{index}",1]"#))
        .collect();
    let text = format!(
        r#"{{"calls":"10.0.0.1:4","departures":[{}],"domain":"kozhikode-a","gossip":"10.0.0.1:4",
        "is_leaving":false,"node":"node-0003","region":"kozhikode","stamp":[1,2]}}"#,
        list.join(",")
    );

    let member: Member = serde_json::from_str(&text).unwrap();

    assert_eq!(member.departures.iter().count(), 4);
}

// Guards against a node that knows nobody until the platform returns: it served no calls, and a
// departure could not reach it.
#[test]
fn a_node_that_restarts_while_the_platform_is_away_learns_all_from_its_peers() {
    let mut fleet = fleet_after_departure(State::Gone);
    fleet.step(1, ready("i-other", 40));
    fleet.run(PROPAGATION_MAX);
    fleet.platform.unavailable_to = (0..NODES).collect();

    fleet.restart(RESTARTED, 9);
    fleet.step(RESTARTED, ready("i-leaving", 40));
    fleet.run(DISCOVERY_MAX);
    let delayed = fleet.endpoint_counts();
    fleet.step(RESTARTED, ready("i-new", 50));
    fleet.run(PROPAGATION_MAX);

    assert_eq!(delayed, vec![1; NODES]);
    assert_eq!(fleet.endpoint_counts(), vec![2; NODES]);
    assert_eq!(fleet.versions(), vec![1; NODES]);
    assert!(!fleet.nodes[RESTARTED].view.departures.is_empty());
}

/// Guards against the acknowledgement of a departure that only processes know: it was forgotten when
/// all of them were killed at once.
#[test]
fn a_departure_that_counts_as_stored_outlives_a_kill_of_all_nodes_at_that_moment() {
    for unavailable in [Span::new(0), Span::new(700), Span::seconds(5)] {
        let mut fleet = Fleet::new(NODES);
        fleet.run(DISCOVERY_MAX);
        fleet.step(RESTARTED, ready("i-leaving", 40));
        fleet.run(PROPAGATION_MAX);
        let is_stored = |fleet: &Fleet| {
            let stored = &fleet.nodes[RESTARTED].stored;
            stored.contains(&"i-leaving".parse().unwrap(), 40)
        };

        fleet.platform.unavailable_to = (0..NODES).collect();
        fleet.step(RESTARTED, left("i-leaving", 40, State::Gone));
        fleet.run(unavailable);
        let is_early = unavailable > Span::new(0) && is_stored(&fleet);
        fleet.platform.unavailable_to.clear();
        let returned = fleet.now;
        while !is_stored(&fleet) && fleet.now.since(returned) < STORED_MAX {
            fleet.run(TICK);
        }
        let is_in_time = is_stored(&fleet);
        for index in 0..NODES {
            fleet.restart(index, 9);
        }
        fleet.step(RESTARTED, ready("i-leaving", 40));
        fleet.run(DISCOVERY_MAX);

        assert!(!is_early, "stored while the platform was unavailable");
        assert!(is_in_time, "not stored in time after {unavailable}");
        assert_eq!(fleet.endpoint_counts(), vec![0; NODES], "{unavailable}");
    }
}

/// Guards against a restarted node that reads its object from stale data, and then replaces the object
/// without the departure that it named.
#[test]
fn a_departure_outlives_the_restart_of_all_nodes_although_stale_lists_lack_it() {
    let mut fleet = Fleet::new(NODES);
    fleet.run(DISCOVERY_MAX);
    fleet.step(RESTARTED, ready("i-leaving", 40));
    fleet.run(PROPAGATION_MAX);
    fleet.platform.stale_members = Some(fleet.platform.members.clone());
    fleet.step(RESTARTED, left("i-leaving", 40, State::Gone));
    fleet.run(PROPAGATION_MAX);

    for index in 0..NODES {
        fleet.restart(index, 9);
    }
    fleet.step(RESTARTED, ready("i-leaving", 40));
    fleet.run(DISCOVERY_MAX);

    assert_eq!(fleet.endpoint_counts(), vec![0; NODES]);
}
