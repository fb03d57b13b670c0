//! Rate limits of backend servers are known to the whole fleet.

mod support;

use cicadagw_endpoint::{LocalUpdate, State};
use cicadagw_gossip::{Event, Member};
use cicadagw_unit::rate::CallRate;
use cicadagw_unit::time::Span;
use support::{Fleet, local};

/// Time within which a change of an endpoint is known everywhere.
const PROPAGATION_MAX: Span = Span::new(250);

fn ready(limit: Option<CallRate>) -> Event {
    Event::Local(LocalUpdate {
        limit,
        ..local("i-3", State::Ready)
    })
}

/// Returns the limit of the only endpoint, as each node knows it.
fn limits(fleet: &Fleet) -> Vec<Option<CallRate>> {
    let endpoints = |node: &support::Node| {
        let mut records = node.view.endpoints.values().flatten();
        records.next().and_then(|record| record.limit)
    };
    fleet.nodes.iter().map(endpoints).collect()
}

#[test]
fn a_limit_and_its_end_reach_all_nodes_while_the_platform_is_unavailable() {
    let limit = CallRate::from_milli(29_700);
    let mut fleet = Fleet::new(12);
    fleet.run(Span::seconds(3));
    fleet.platform.unavailable_to = (0..12).collect();

    fleet.step(3, ready(Some(limit)));
    fleet.run(PROPAGATION_MAX);
    let named = limits(&fleet);
    fleet.step(3, ready(None));
    fleet.run(PROPAGATION_MAX);

    assert_eq!(named, vec![Some(limit); 12]);
    assert_eq!(limits(&fleet), vec![None; 12]);
}

#[test]
fn a_node_that_restarts_learns_the_limits_of_others() {
    let limit = CallRate::from_milli(7_300);
    let mut fleet = Fleet::new(12);
    fleet.run(Span::seconds(3));
    fleet.step(3, ready(Some(limit)));
    fleet.run(PROPAGATION_MAX);

    fleet.restart(8, 9);
    fleet.run(Span::seconds(1));

    assert_eq!(limits(&fleet), vec![Some(limit); 12]);
}

#[test]
fn a_record_of_a_process_that_knows_no_limits_is_read() {
    let text = r#"{"backend":{"endpoint":"i-3","is_ready":true,"service":"orders","slots":9},
        "calls":"10.0.0.1:4","domain":"kozhikode-a","gossip":"10.0.0.1:4","is_leaving":false,
        "node":"node-0003","region":"kozhikode","stamp":[1,2]}"#;

    let member: Member = serde_json::from_str(text).unwrap();

    let backend = member.backend.unwrap();
    assert_eq!((backend.limit, backend.started_ms), (None, 0));
}
