//! Endpoints become ready, drain and end. A gone endpoint cannot register again unless its backend
//! server has started again.

use cicadagw_call::Registry;
use cicadagw_call::lifecycle::{Announcement, Effect, Gone, Order, State};
use cicadagw_endpoint::Departure;
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};
use quickcheck::{Gen, QuickCheck};

/// The size of the generated inputs and the seed of the generator.
const SIZE: usize = 60;
const SEED: u64 = 7;

/// The registration timeout.
const RENEWAL: Span = Span::seconds(3);

fn announcement(endpoint: &str, port: u16, is_draining: bool) -> Announcement {
    Announcement {
        release: None,
        warm_up: Span::new(0),
        address: ([127, 0, 0, 1], port).into(),
        connections: Slots::new(100),
        endpoint: endpoint.parse().unwrap(),
        in_flight: Slots::new(0),
        is_draining,
        order: Order::default(),
        service: "orders".parse().unwrap(),
        slots: Slots::new(10),
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

fn endpoint(text: &str) -> id::Endpoint {
    text.parse().unwrap()
}

fn rendered(effects: &[Effect]) -> Vec<String> {
    effects
        .iter()
        .map(|effect| match effect {
            Effect::Refuse(endpoint) => format!("refuse {endpoint}"),
            Effect::Publish(update) => format!("publish {} {:?}", update.endpoint, update.state),
        })
        .collect()
}

#[test]
fn an_endpoint_registers_drains_and_ends() {
    let mut registry = Registry::default();

    let steps = [
        registry
            .announce(at(0), &announcement("a", 1, false))
            .unwrap(),
        registry
            .announce(at(1_000), &announcement("a", 1, false))
            .unwrap(),
        registry
            .announce(at(2_000), &announcement("a", 1, true))
            .unwrap(),
        registry
            .announce(at(3_000), &announcement("a", 1, false))
            .unwrap(),
        registry
            .deregister(at(4_000), &endpoint("a"), None)
            .unwrap(),
    ];

    insta::assert_debug_snapshot!(steps.each_ref().map(|effects| rendered(effects)));
    assert_eq!(
        registry.announce(at(5_000), &announcement("a", 1, false)),
        Err(Gone)
    );
}

#[test]
fn an_endpoint_expires_only_after_the_registration_timeout() {
    let mut registry = Registry::default();
    registry
        .announce(at(0), &announcement("a", 1, false))
        .unwrap();

    let in_time = registry.expire(at(3_000), RENEWAL);
    let late = registry.expire(at(3_001), RENEWAL);

    assert_eq!(in_time, []);
    assert_eq!(rendered(&late), ["refuse a", "publish a Gone"]);
}

#[test]
fn time_while_the_node_was_suspended_does_not_count_towards_expiry() {
    let mut registry = Registry::default();
    registry
        .announce(at(0), &announcement("a", 1, false))
        .unwrap();
    registry.renew_all(at(60_000));

    let in_time = registry.expire(at(63_000), RENEWAL);
    let late = registry.expire(at(63_001), RENEWAL);

    assert_eq!(in_time, []);
    assert_eq!(rendered(&late), ["refuse a", "publish a Gone"]);
}

#[test]
fn a_new_endpoint_at_the_same_address_ends_the_old_one() {
    let mut registry = Registry::default();
    registry
        .announce(at(0), &announcement("a", 1, false))
        .unwrap();
    registry
        .announce(at(0), &announcement("other", 2, false))
        .unwrap();

    let effects = registry
        .announce(at(100), &announcement("b", 1, false))
        .unwrap();

    assert_eq!(
        rendered(&effects),
        ["refuse a", "publish a Gone", "publish b Ready"]
    );
}

/// Returns a property checker with a fixed seed, so that every run checks the same inputs.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn an_endpoint_never_returns_to_an_earlier_state() {
    fn property(steps: Vec<u8>) -> bool {
        let mut registry = Registry::default();
        let mut now = at(0);
        let rank = |registry: &Registry| match registry.get(&endpoint("a")) {
            Some((State::Announced | State::Ready, _)) => 1,
            Some((State::Draining, _)) => 2,
            Some((State::Gone, _)) | None => 3,
        };
        let mut highest = 0;
        steps.into_iter().all(|step| {
            now = now.after(Span::seconds(1));
            match step % 5 {
                0 | 1 => drop(registry.announce(now, &announcement("a", 1, step % 5 == 1))),
                2 => drop(registry.deregister(now, &endpoint("a"), None)),
                3 => drop(registry.expire(now, RENEWAL)),
                _ => drop(registry.drain_all(now)),
            }
            let before = highest;
            if highest > 0 || registry.get(&endpoint("a")).is_some() {
                highest = rank(&registry);
            }
            highest >= before
        })
    }

    seeded().quickcheck(property as fn(Vec<u8>) -> bool);
}

fn started_at(started_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        order: Order {
            started_ms,
            sequence,
        },
        ..announcement("a", 1, false)
    }
}

#[test]
fn a_delayed_deregistration_of_an_earlier_start_is_ignored() {
    let mut registry = Registry::default();
    registry.announce(at(0), &started_at(1_000, 1)).unwrap();
    registry.announce(at(5_000), &started_at(6_000, 1)).unwrap();

    let effects = registry.deregister(at(5_500), &endpoint("a"), Some(1_000));

    assert_eq!(effects, Some(Vec::new()));
    assert_eq!(registry.get(&endpoint("a")).unwrap().0, State::Ready);
    let renewed = registry.announce(at(6_000), &started_at(6_000, 2));
    assert!(renewed.is_ok());
}

#[test]
fn a_delayed_announcement_after_a_node_restart_does_not_register_a_server_that_left() {
    for started_ms in [Some(1_000), None] {
        // The node has restarted and knows nothing.
        let mut registry = Registry::default();
        registry.deregister(at(0), &endpoint("a"), started_ms);

        let delayed = registry.announce(at(3_000), &started_at(1_000, 7));
        let restarted = registry.announce(at(6_000), &started_at(5_000, 1));

        assert_eq!(delayed, Err(Gone), "{started_ms:?}");
        assert!(restarted.is_ok(), "{started_ms:?}");
    }
}

// Guards against a leaving that is forgotten when the node restarts: other nodes remember it, and
// may tell it before or after a delayed announcement arrives.
#[test]
fn a_restored_departure_ends_its_endpoint_and_refuses_delayed_announcements() {
    let departure = Departure {
        endpoint: endpoint("a"),
        started_ms: 0,
    };
    let mut told_before = Registry::default();
    let mut told_after = Registry::default();

    told_before.restore_departure(at(0), &departure);
    let refused = told_before.announce(at(1), &announcement("a", 1, false));
    let other = told_before.announce(at(1), &announcement("b", 1, false));
    told_after
        .announce(at(0), &announcement("a", 1, false))
        .unwrap();
    let ended = told_after.restore_departure(at(1), &departure);

    assert_eq!(refused, Err(Gone));
    assert_eq!(rendered(&other.unwrap()), ["publish b Ready"]);
    assert_eq!(rendered(&ended), ["refuse a", "publish a Gone"]);
}

#[test]
fn only_a_backend_server_that_leaves_is_published_as_departed() {
    let departed = |effects: &[Effect]| -> Vec<bool> {
        let published = effects.iter().filter_map(|effect| match effect {
            Effect::Publish(update) => Some(update.has_left),
            Effect::Refuse(_) => None,
        });
        published.collect()
    };
    let registered = || {
        let mut registry = Registry::default();
        registry
            .announce(at(0), &announcement("a", 1, false))
            .unwrap();
        registry
    };

    let deregistered = registered().deregister(at(1), &endpoint("a"), None);
    let draining = registered().announce(at(1), &announcement("a", 1, true));
    let stopping = registered().drain_all(at(1));
    let stopped = registered().end_all(at(1));
    let expired = registered().expire(at(10_000), RENEWAL);
    let unreachable = registered().forget(at(1), &endpoint("a"));

    assert_eq!(departed(&deregistered.unwrap()), [true]);
    assert_eq!(departed(&draining.unwrap()), [true]);
    for effects in [stopping, stopped, expired, unreachable] {
        assert_eq!(departed(&effects), [false]);
    }
}

// Guards against a departure that is forgotten since a call that was under way could no longer
// connect to the backend server.
#[test]
fn a_backend_server_that_has_left_stays_gone_when_it_cannot_be_reached() {
    let mut registry = Registry::default();
    registry
        .announce(at(0), &announcement("a", 1, false))
        .unwrap();
    registry.deregister(at(1), &endpoint("a"), None);

    registry.forget(at(2), &endpoint("a"));

    let delayed = registry.announce(at(3), &announcement("a", 1, false));
    assert_eq!(delayed, Err(Gone));
}
