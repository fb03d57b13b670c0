//! Endpoints live once: they come, drain, and are gone for good.

use cicadagw_call::Registry;
use cicadagw_call::lifecycle::{Announcement, Effect, Gone, Order, State};
use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::{Span, Timestamp};
use quickcheck::{Gen, QuickCheck};

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 60;
const SEED: u64 = 7;

const RENEWAL: Span = Span::seconds(3);

fn said(endpoint: &str, port: u16, is_draining: bool) -> Announcement {
    Announcement {
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

fn name(text: &str) -> id::Endpoint {
    text.parse().unwrap()
}

fn lines(effects: &[Effect]) -> Vec<String> {
    effects
        .iter()
        .map(|effect| match effect {
            Effect::Refuse(endpoint) => format!("refuse {endpoint}"),
            Effect::Publish(news) => format!("tell {} {:?}", news.endpoint, news.state),
        })
        .collect()
}

#[test]
fn a_whole_life() {
    let mut registry = Registry::default();

    let session = [
        registry.announce(at(0), &said("a", 1, false)).unwrap(),
        registry.announce(at(1_000), &said("a", 1, false)).unwrap(),
        registry.announce(at(2_000), &said("a", 1, true)).unwrap(),
        registry.announce(at(3_000), &said("a", 1, false)).unwrap(),
        registry.deregister(at(4_000), &name("a")).unwrap(),
    ];

    insta::assert_debug_snapshot!(session.each_ref().map(|effects| lines(effects)));
    assert_eq!(
        registry.announce(at(5_000), &said("a", 1, false)),
        Err(Gone)
    );
}

#[test]
fn silence_ends_an_endpoint_only_after_the_renewal() {
    let mut registry = Registry::default();
    registry.announce(at(0), &said("a", 1, false)).unwrap();

    let in_time = registry.expire(at(3_000), RENEWAL);
    let late = registry.expire(at(3_001), RENEWAL);

    assert_eq!(in_time, []);
    assert_eq!(lines(&late), ["refuse a", "tell a Gone"]);
}

#[test]
fn a_node_that_stood_still_holds_no_silence_against_its_backend_servers() {
    let mut registry = Registry::default();
    registry.announce(at(0), &said("a", 1, false)).unwrap();
    registry.renew_all(at(60_000));

    let in_time = registry.expire(at(63_000), RENEWAL);
    let late = registry.expire(at(63_001), RENEWAL);

    assert_eq!(in_time, []);
    assert_eq!(lines(&late), ["refuse a", "tell a Gone"]);
}

#[test]
fn a_new_start_at_the_same_address_ends_the_old_one() {
    let mut registry = Registry::default();
    registry.announce(at(0), &said("a", 1, false)).unwrap();
    registry.announce(at(0), &said("other", 2, false)).unwrap();

    let effects = registry.announce(at(100), &said("b", 1, false)).unwrap();

    assert_eq!(lines(&effects), ["refuse a", "tell a Gone", "tell b Ready"]);
}

/// Returns a checker that takes the same way on every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn nothing_comes_back_from_where_it_is() {
    fn holds(steps: Vec<u8>) -> bool {
        let mut registry = Registry::default();
        let mut now = at(0);
        let rank = |registry: &Registry| match registry.get(&name("a")) {
            Some((State::Announced | State::Ready, _)) => 1,
            Some((State::Draining, _)) => 2,
            Some((State::Gone, _)) | None => 3,
        };
        let mut highest = 0;
        steps.into_iter().all(|step| {
            now = now.after(Span::seconds(1));
            match step % 5 {
                0 | 1 => drop(registry.announce(now, &said("a", 1, step % 5 == 1))),
                2 => drop(registry.deregister(now, &name("a"))),
                3 => drop(registry.expire(now, RENEWAL)),
                _ => drop(registry.drain_all(now)),
            }
            let before = highest;
            if highest > 0 || registry.get(&name("a")).is_some() {
                highest = rank(&registry);
            }
            highest >= before
        })
    }

    seeded().quickcheck(holds as fn(Vec<u8>) -> bool);
}
