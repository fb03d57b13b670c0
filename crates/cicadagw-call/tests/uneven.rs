//! Backend servers of one service that differ in speed: calls go to a fast one where that is of use
//! to their callers, and bytes do not cross failure domains for nothing.

use cicadagw_call::Load;
use cicadagw_call::balancer::{Balancer, Demand, Locality, Signal};
use cicadagw_endpoint::{Record, State};
use cicadagw_unit::rate::{Permille, Priority};
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Sequence, id};
use rand::SeedableRng;
use rand::rngs::StdRng;

const HALF: Permille = Permille::new(500);

/// Work times of an endpoint that is slower than the average, and of a faster one.
const SLOW: Span = Span::new(200);
const FAST: Span = Span::new(80);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

fn endpoint(text: &str) -> id::Endpoint {
    text.parse().unwrap()
}

fn policy() -> id::Policy {
    "lookup".parse().unwrap()
}

fn record(endpoint: &str, domain: &str) -> Record {
    Record {
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.parse().unwrap(),
        endpoint: endpoint.parse().unwrap(),
        limit: None,
        link: "127.0.0.1:2".parse().unwrap(),
        node: format!("{endpoint}-node").parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        region: domain.split('-').next().unwrap().parse().unwrap(),
        release: None,
        sequence: Sequence::new(1),
        service: "lookup".parse().unwrap(),
        slots: Slots::new(10),
        started_ms: 0,
        state: State::Ready,
    }
}

/// A balancer of a node in `kochi-a` that has seen calls at a slow endpoint of its own failure domain
/// and at a fast one of another, each with responses of `size`.
fn slow_near_fast_far(size: Bytes) -> Balancer {
    let own = Locality {
        domain: "kochi-a".parse().unwrap(),
        node: "kochi-a-1".parse().unwrap(),
        region: "kochi".parse().unwrap(),
    };
    let mut balancer = Balancer::default();
    let records = [record("near", "kochi-a"), record("far", "kochi-b")];
    balancer.update(at(0), &own, &records);
    for _ in 0..20 {
        for (name, work) in [("near", SLOW), ("far", FAST)] {
            report(&mut balancer, name, "1/10");
            balancer.record_response(at(0), &endpoint(name), &policy(), work, size);
        }
    }
    balancer
}

fn report(balancer: &mut Balancer, name: &str, load: &str) {
    let load: Load = load.parse().unwrap();
    balancer.record_outcome(at(0), &endpoint(name), Signal::Success, Some(load));
}

/// Chooses the endpoint of a call that has `left` until its latency target.
fn choose(balancer: &Balancer, now: Timestamp, left: Span) -> String {
    let policy = policy();
    let demand = Demand {
        policy: &policy,
        priority: Priority::default(),
        target: Some(left),
    };
    let mut rng = StdRng::seed_from_u64(7);
    let chosen = balancer.choose(now, &mut rng, &[], HALF, demand);
    chosen.unwrap().endpoint.to_string()
}

#[test]
fn call_with_time_left_stays_at_a_slow_endpoint_of_its_domain() {
    let balancer = slow_near_fast_far(Bytes::new(5 << 10));

    assert_eq!(choose(&balancer, at(10), Span::new(1_200)), "near");
}

#[test]
fn call_close_to_its_target_crosses_to_a_fast_endpoint() {
    let balancer = slow_near_fast_far(Bytes::new(5 << 10));

    assert_eq!(choose(&balancer, at(10), Span::new(220)), "far");
}

#[test]
fn call_with_time_left_crosses_rather_than_wait_for_a_slot() {
    let mut balancer = slow_near_fast_far(Bytes::new(5 << 10));
    report(&mut balancer, "near", "16/10");

    assert_eq!(choose(&balancer, at(10), Span::new(600)), "far");
}

#[test]
fn stated_pace_diverts_calls_only_while_it_is_recent() {
    let mut balancer = slow_near_fast_far(Bytes::new(0));
    // At the usual pace, the endpoint of another domain is the faster one.
    report(&mut balancer, "far", "1/10/4000");

    let while_recent = choose(&balancer, at(10), Span::new(600));
    let later = choose(&balancer, at(500), Span::new(600));

    assert_eq!((while_recent.as_str(), later.as_str()), ("near", "far"));
}

#[test]
fn work_at_a_slow_pace_does_not_count_as_a_slow_endpoint() {
    let mut balancer = slow_near_fast_far(Bytes::new(0));
    for _ in 0..20 {
        report(&mut balancer, "far", "1/10/2500");
        let work = Span::new(200);
        balancer.record_response(at(0), &endpoint("far"), &policy(), work, Bytes::new(0));
    }

    assert_eq!(choose(&balancer, at(500), Span::new(600)), "far");
}

#[test]
fn load_with_a_pace_is_read_as_it_is_written() {
    let load: Load = "3/10/2500".parse().unwrap();

    assert_eq!(load.pace, Some(Permille::new(2_500)));
    assert_eq!(load.to_string(), "3/10/2500");
    assert!("3/10/".parse::<Load>().is_err());
}
