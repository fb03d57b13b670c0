//! Calls go to nearby endpoints with free slots, spread by load, and failures never leave a service
//! without endpoints.

use std::collections::BTreeMap;

use cicadagw_call::Load;
use cicadagw_call::balancer::{Balancer, Demand, Locality, Signal};
use cicadagw_endpoint::{Record, State};
use cicadagw_unit::rate::{CallRate, Permille, Priority};
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Sequence, id};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The size of the generated inputs and the seed of the generator.
const SIZE: usize = 60;
const SEED: u64 = 7;

const HALF: Permille = Permille::new(500);
const FAILURES_TO_EJECT: usize = 5;

fn own_locality() -> Locality {
    Locality {
        domain: "kochi-a".parse().unwrap(),
        node: "kochi-a-1".parse().unwrap(),
        region: "kochi".parse().unwrap(),
    }
}

fn record(endpoint: &str, domain: &str, slots: u32) -> Record {
    Record {
        release: None,
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
        limit: None,
        started_ms: 0,
        state: State::Ready,
    }
}

fn balancer(records: &[Record]) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.update(at(0), &own_locality(), records);
    balancer
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

fn endpoint(text: &str) -> id::Endpoint {
    text.parse().unwrap()
}

fn policy() -> id::Policy {
    "plain".parse().unwrap()
}

/// A call under `policy` without a latency target.
fn demand(policy: &id::Policy) -> Demand<'_> {
    Demand {
        policy,
        priority: Priority::default(),
        target: None,
    }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// Chooses endpoints for `count` calls, begins the calls, and counts them by endpoint.
fn spread(balancer: &mut Balancer, now: Timestamp, count: usize) -> BTreeMap<String, usize> {
    let mut rng = rng();
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        let chosen = balancer
            .choose(now, &mut rng, &[], HALF, demand(&policy()))
            .unwrap()
            .endpoint
            .clone();
        balancer.start_call(&chosen);
        *counts.entry(chosen.to_string()).or_default() += 1;
    }
    counts
}

fn fail(balancer: &mut Balancer, name: &str, times: usize) {
    for _ in 0..times {
        balancer.record_outcome(at(0), &endpoint(name), Signal::Failure, None);
    }
}

#[test]
fn calls_prefer_near_endpoints_until_they_are_full() {
    let mut balancer = balancer(&[
        record("far", "kozhikode-a", 10),
        record("middle", "kochi-b", 10),
        record("near", "kochi-a", 4),
    ]);

    let counts = spread(&mut balancer, at(0), 20);

    insta::assert_debug_snapshot!(counts);
}

#[test]
fn a_load_report_diverts_calls_until_it_expires() {
    let mut balancer = balancer(&[
        record("middle", "kochi-b", 10),
        record("near", "kochi-a", 10),
    ]);
    let full = "10/10".parse::<Load>().unwrap();
    balancer.record_outcome(at(0), &endpoint("near"), Signal::Neutral, Some(full));

    let before_expiry = balancer
        .choose(at(10), &mut rng(), &[], HALF, demand(&policy()))
        .unwrap();
    let after_expiry = balancer
        .choose(at(1_000), &mut rng(), &[], HALF, demand(&policy()))
        .unwrap();

    assert_eq!(before_expiry.endpoint, endpoint("middle"));
    assert_eq!(after_expiry.endpoint, endpoint("near"));
}

#[test]
fn calls_are_spread_in_proportion_to_slots() {
    let mut balancer = balancer(&[
        record("large", "kochi-a", 30),
        record("small", "kochi-a", 10),
    ]);

    let counts = spread(&mut balancer, at(0), 40);

    assert_eq!((counts["large"], counts["small"]), (30, 10));
}

#[test]
fn a_new_endpoint_receives_few_calls_at_first() {
    let old = record("old", "kochi-a", 10);
    let mut balancer = balancer(std::slice::from_ref(&old));
    balancer.update(
        at(1_000),
        &own_locality(),
        &[record("new", "kochi-a", 10), old],
    );

    let counts = spread(&mut balancer, at(1_000), 11);

    assert_eq!((counts["new"], counts["old"]), (1, 10));
}

#[test]
fn consecutive_failures_eject_an_endpoint_for_a_time() {
    let mut balancer = balancer(&[
        record("a", "kochi-a", 10),
        record("b", "kochi-a", 10),
        record("c", "kochi-a", 10),
    ]);
    fail(&mut balancer, "a", FAILURES_TO_EJECT);

    let during_ejection = spread(&mut balancer.clone(), at(4_999), 12);
    let after_ejection = spread(&mut balancer, at(5_000), 12);

    assert!(!during_ejection.contains_key("a"));
    assert!(after_ejection.contains_key("a"));
}

#[test]
fn health_is_ignored_below_the_panic_threshold() {
    let mut balancer = balancer(&[
        record("a", "kochi-a", 10),
        record("b", "kochi-a", 10),
        record("c", "kochi-a", 10),
    ]);
    fail(&mut balancer, "a", FAILURES_TO_EJECT);
    fail(&mut balancer, "b", FAILURES_TO_EJECT);

    let counts = spread(&mut balancer, at(0), 30);

    assert_eq!(counts.len(), 3);
}

#[test]
fn an_update_keeps_the_calls_in_flight_of_remaining_endpoints() {
    let records = [record("a", "kochi-a", 10), record("b", "kochi-a", 10)];
    let mut balancer = balancer(&records);
    balancer.start_call(&endpoint("a"));

    balancer.update(at(1), &own_locality(), &records[..1]);

    assert!(!balancer.is_idle());
    balancer.end_call(&endpoint("a"));
    assert!(balancer.is_idle());
}

/// Returns a property checker with a fixed seed, so that every run checks the same inputs.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED))
}

#[test]
fn an_untried_endpoint_is_always_chosen() {
    fn property(failures: Vec<u8>, loads: Vec<u8>, tried: u8, seed: u64) -> bool {
        let names = ["a", "b", "c", "d"];
        let mut balancer = balancer(&names.map(|name| record(name, "kochi-a", 5)));
        for index in failures {
            fail(&mut balancer, names[usize::from(index % 4)], 1);
        }
        for load in loads {
            let report = Load {
                in_flight: Slots::new(u32::from(load)),
                pace: None,
                slots: Slots::new(5),
            };
            balancer.record_outcome(
                at(0),
                &endpoint(names[usize::from(load % 4)]),
                Signal::Neutral,
                Some(report),
            );
        }
        let tried: Vec<_> = (0..4)
            .filter(|bit| tried >> bit & 1 == 1)
            .map(|bit| endpoint(names[bit]))
            .collect();

        let mut rng = StdRng::seed_from_u64(seed);
        let chosen = balancer.choose(at(0), &mut rng, &tried, HALF, demand(&policy()));

        match chosen {
            Some(record) => !tried.contains(&record.endpoint),
            None => tried.len() == 4,
        }
    }

    seeded().quickcheck(property as fn(Vec<u8>, Vec<u8>, u8, u64) -> bool);
}

#[test]
fn calls_of_a_full_region_do_not_probe_another_full_region() {
    let near = ["near-1", "near-2"].map(|name| record(name, "kochi-a", 10));
    let far = ["far-1", "far-2", "far-3", "far-4"].map(|name| record(name, "kozhikode-a", 10));
    let mut balancer = balancer(&[&near[..], &far[..]].concat());
    let full = "11/10".parse::<Load>().unwrap();
    let mut rng = rng();
    let mut crossed = 0;

    // Every endpoint is full, and reports it with each of 100 calls a second.
    for step in 0..1_000 {
        let now = at(step * 10);
        let chosen = balancer
            .choose(now, &mut rng, &[], HALF, demand(&policy()))
            .unwrap();
        let (chosen, region) = (chosen.endpoint.clone(), chosen.region.clone());
        crossed += usize::from(region != own_locality().region);
        balancer.record_outcome(now, &chosen, Signal::Neutral, Some(full));
    }

    // One call may cross each second, to find out whether there is room meanwhile.
    assert!(crossed <= 10, "{crossed} of 1,000 calls crossed");
}

#[test]
fn calls_of_a_full_region_go_to_another_one_with_room() {
    let near = record("near", "kochi-a", 10);
    let far = record("far", "kozhikode-a", 10);
    let mut balancer = balancer(&[near, far]);
    let (full, idle) = ("20/10".parse().unwrap(), "1/10".parse().unwrap());
    balancer.record_outcome(at(0), &endpoint("near"), Signal::Neutral, Some(full));
    balancer.record_outcome(at(0), &endpoint("far"), Signal::Neutral, Some(idle));

    let chosen = balancer.choose(at(10), &mut rng(), &[], HALF, demand(&policy()));

    assert_eq!(chosen.unwrap().endpoint, endpoint("far"));
}

#[test]
fn a_call_leaves_its_region_only_when_that_saves_a_long_wait() {
    let near = record("near", "kochi-a", 18);
    let far = record("far", "kozhikode-a", 18);
    let mut balancer = balancer(&[near, far]);
    let (work, size) = (Span::new(120), Bytes::new(5_000));
    balancer.record_response(at(0), &endpoint("near"), &policy(), work, size);
    let mut chosen_with = |load: &str| {
        let idle = "1/18".parse().unwrap();
        let load = load.parse().unwrap();
        balancer.record_outcome(at(0), &endpoint("near"), Signal::Neutral, Some(load));
        balancer.record_outcome(at(0), &endpoint("far"), Signal::Neutral, Some(idle));
        let chosen = balancer.choose(at(10), &mut rng(), &[], HALF, demand(&policy()));
        chosen.unwrap().endpoint.clone()
    };

    let with_short_queue = chosen_with("20/18");
    let with_long_queue = chosen_with("36/18");

    assert_eq!(with_short_queue, endpoint("near"));
    assert_eq!(with_long_queue, endpoint("far"));
}

#[test]
fn endpoint_with_a_rate_limit_gets_calls_in_proportion() {
    let mut limited = record("near", "kochi-a", 9);
    limited.limit = Some(CallRate::from_milli(10_000));
    let balancer = balancer(&[limited, record("other", "kochi-b", 9)]);
    // At 10 calls/s of 50 ms each, half a call runs on average, so the endpoint counts as full.
    let chosen = balancer.choose(at(10), &mut rng(), &[], HALF, demand(&policy()));

    assert_eq!(chosen.unwrap().endpoint.as_str(), "other");
}

#[test]
fn endpoint_that_refused_by_its_rate_limit_is_avoided_until_it_allows_a_call() {
    let mut balancer = balancer(&[record("near", "kochi-a", 9)]);
    let id = "near".parse().unwrap();
    balancer.record_limited(at(0), &id, Span::new(80), Priority::new(1));
    let choose = |time, priority| {
        let policy = policy();
        let call = Demand {
            priority: Priority::new(priority),
            ..demand(&policy)
        };
        let chosen = balancer.choose(at(time), &mut rng(), &[], HALF, call);
        chosen.is_some()
    };

    assert!(!choose(79, 1));
    assert!(choose(79, 0), "a more urgent call may be allowed");
    assert!(choose(80, 1));
}
