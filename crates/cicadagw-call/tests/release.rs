//! Calls with large responses while a rollout goes on.

use std::sync::Arc;

use cicadagw_call::balancer::{Balancer, Demand, Locality};
use cicadagw_endpoint::{Record, State};
use cicadagw_rollout::{Directive, Order, Phase, Status};
use cicadagw_unit::rate::{Permille, Priority};
use cicadagw_unit::size::{Bytes, Slots};
use cicadagw_unit::time::{Span, Timestamp};
use cicadagw_unit::{Sequence, Term, id};
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW: Timestamp = Timestamp::new(1_000);

fn record(endpoint: &str, region: &str, release: &str) -> Record {
    Record {
        address: "127.0.0.1:1".parse().unwrap(),
        domain: format!("{region}-a").parse().unwrap(),
        endpoint: endpoint.parse().unwrap(),
        limit: None,
        link: "127.0.0.1:2".parse().unwrap(),
        node: format!("{endpoint}-node").parse().unwrap(),
        rack: "rack-1".parse().unwrap(),
        region: region.parse().unwrap(),
        release: Some(release.parse().unwrap()),
        sequence: Sequence::new(1),
        service: "orders".parse().unwrap(),
        slots: Slots::new(9),
        started_ms: 0,
        state: State::Ready,
    }
}

/// Returns a rollout of `v2` whose test gives it no calls.
fn directive() -> Directive {
    let order = Order {
        duration: Span::seconds(12),
        service: "orders".parse().unwrap(),
        target: "v2".parse().unwrap(),
    };
    let status = Status {
        phase: Phase::Observing,
        ..Status::noticed(&order, None)
    };
    Directive {
        service: order.service,
        status: Some(status),
        stopped: false,
        term: Term::from(cicadagw_unit::Revision::new(1)),
    }
}

#[test]
fn a_call_with_a_large_response_leaves_a_region_where_only_another_release_is() {
    let own = Locality {
        domain: "kochi-a".parse().unwrap(),
        node: "kochi-a-1".parse().unwrap(),
        region: "kochi".parse().unwrap(),
    };
    let policy: id::Policy = "plain".parse().unwrap();
    let demand = Demand {
        policy: &policy,
        priority: Priority::default(),
        target: None,
    };
    let records = [record("new", "kochi", "v2"), record("old", "surat", "v1")];
    let mut balancer = Balancer::default();
    balancer.update(NOW, &own, &records);
    balancer.set_rollout(Some(Arc::new(directive())));
    let (work, size) = (Span::new(100), Bytes::new(300 << 10));
    balancer.record_response(NOW, &records[1].endpoint, &policy, work, size);

    let mut rng = StdRng::seed_from_u64(7);
    let chosen = balancer.choose(NOW, &mut rng, &[], Permille::new(500), demand);

    assert_eq!(
        chosen.map(|record| &record.endpoint),
        Some(&records[1].endpoint)
    );
}
