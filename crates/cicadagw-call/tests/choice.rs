//! Calls go to near endpoints with room, spread by load, and health never empties a set.

use std::collections::BTreeMap;

use cicadagw_call::Load;
use cicadagw_call::balancer::{Balancer, Locality, Signal};
use cicadagw_endpoint::{Record, State};
use cicadagw_unit::rate::Permille;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Timestamp;
use cicadagw_unit::{Sequence, id};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// How large the generated values are, and what their choice begins with.
const SIZE: usize = 60;
const SEED: u64 = 7;

const HALF: Permille = Permille::new(500);
const FAILURES: usize = 5;

fn here() -> Locality {
    Locality {
        domain: "kochi-a".parse().unwrap(),
        node: "kochi-a-1".parse().unwrap(),
        region: "kochi".parse().unwrap(),
    }
}

fn record(endpoint: &str, domain: &str, slots: u32) -> Record {
    Record {
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.parse().unwrap(),
        endpoint: endpoint.parse().unwrap(),
        link: "127.0.0.1:2".parse().unwrap(),
        node: format!("{endpoint}-node").parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        region: domain.split('-').next().unwrap().parse().unwrap(),
        sequence: Sequence::new(1),
        service: "orders".parse().unwrap(),
        slots: Slots::new(slots),
        state: State::Ready,
    }
}

fn set(records: &[Record]) -> Balancer {
    let mut set = Balancer::default();
    set.update(at(0), &here(), records);
    set
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

fn name(text: &str) -> id::Endpoint {
    text.parse().unwrap()
}

fn policy() -> id::Policy {
    "plain".parse().unwrap()
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// Chooses and begins `count` calls, and counts them by endpoint.
fn spread(set: &mut Balancer, now: Timestamp, count: usize) -> BTreeMap<String, usize> {
    let mut rng = rng();
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        let chosen = set
            .choose(now, &mut rng, &[], HALF, &policy())
            .unwrap()
            .endpoint
            .clone();
        set.begin(&chosen);
        *counts.entry(chosen.to_string()).or_default() += 1;
    }
    counts
}

fn fail(set: &mut Balancer, endpoint: &str, times: usize) {
    for _ in 0..times {
        set.record_outcome(at(0), &name(endpoint), Signal::Failure, None);
    }
}

#[test]
fn calls_stay_near_until_the_near_ones_are_full() {
    let mut set = set(&[
        record("far", "kozhikode-a", 10),
        record("middle", "kochi-b", 10),
        record("near", "kochi-a", 4),
    ]);

    let counts = spread(&mut set, at(0), 20);

    insta::assert_debug_snapshot!(counts);
}

#[test]
fn reported_load_moves_calls_on_until_it_is_old() {
    let mut set = set(&[
        record("middle", "kochi-b", 10),
        record("near", "kochi-a", 10),
    ]);
    let full = "10/10".parse::<Load>().unwrap();
    set.record_outcome(at(0), &name("near"), Signal::Neutral, Some(full));

    let fresh = set
        .choose(at(10), &mut rng(), &[], HALF, &policy())
        .unwrap();
    let old = set
        .choose(at(1_000), &mut rng(), &[], HALF, &policy())
        .unwrap();

    assert_eq!(fresh.endpoint, name("middle"));
    assert_eq!(old.endpoint, name("near"));
}

#[test]
fn an_endpoint_with_more_slots_gets_more() {
    let mut set = set(&[
        record("large", "kochi-a", 30),
        record("small", "kochi-a", 10),
    ]);

    let counts = spread(&mut set, at(0), 40);

    assert_eq!((counts["large"], counts["small"]), (30, 10));
}

#[test]
fn a_new_endpoint_starts_slowly() {
    let old = record("old", "kochi-a", 10);
    let mut set = set(std::slice::from_ref(&old));
    set.update(at(1_000), &here(), &[record("new", "kochi-a", 10), old]);

    let counts = spread(&mut set, at(1_000), 11);

    assert_eq!((counts["new"], counts["old"]), (1, 10));
}

#[test]
fn one_that_fails_in_a_row_is_put_out_and_comes_back() {
    let mut set = set(&[
        record("a", "kochi-a", 10),
        record("b", "kochi-a", 10),
        record("c", "kochi-a", 10),
    ]);
    fail(&mut set, "a", FAILURES);

    let out = spread(&mut set.clone(), at(4_999), 12);
    let back = spread(&mut set, at(5_000), 12);

    assert!(!out.contains_key("a"));
    assert!(back.contains_key("a"));
}

#[test]
fn when_too_few_look_healthy_health_is_not_looked_at() {
    let mut set = set(&[
        record("a", "kochi-a", 10),
        record("b", "kochi-a", 10),
        record("c", "kochi-a", 10),
    ]);
    fail(&mut set, "a", FAILURES);
    fail(&mut set, "b", FAILURES);

    let counts = spread(&mut set, at(0), 30);

    assert_eq!(counts.len(), 3);
}

#[test]
fn what_was_seen_of_those_that_stay_is_kept() {
    let records = [record("a", "kochi-a", 10), record("b", "kochi-a", 10)];
    let mut set = set(&records);
    set.begin(&name("a"));

    set.update(at(1), &here(), &records[..1]);

    assert!(!set.is_idle());
    set.end(&name("a"));
    assert!(set.is_idle());
}

/// Returns a checker that takes the same way on every run.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn a_set_with_an_untried_endpoint_always_has_a_choice() {
    fn holds(failures: Vec<u8>, loads: Vec<u8>, tried: u8, seed: u64) -> bool {
        let names = ["a", "b", "c", "d"];
        let mut set = set(&names.map(|name| record(name, "kochi-a", 5)));
        for index in failures {
            fail(&mut set, names[usize::from(index % 4)], 1);
        }
        for load in loads {
            let report = Load {
                in_flight: Slots::new(u32::from(load)),
                slots: Slots::new(5),
            };
            set.record_outcome(
                at(0),
                &name(names[usize::from(load % 4)]),
                Signal::Neutral,
                Some(report),
            );
        }
        let tried: Vec<_> = (0..4)
            .filter(|bit| tried >> bit & 1 == 1)
            .map(|bit| name(names[bit]))
            .collect();

        let mut rng = StdRng::seed_from_u64(seed);
        let chosen = set.choose(at(0), &mut rng, &tried, HALF, &policy());

        match chosen {
            Some(record) => !tried.contains(&record.endpoint),
            None => tried.len() == 4,
        }
    }

    seeded().quickcheck(holds as fn(Vec<u8>, Vec<u8>, u8, u64) -> bool);
}
