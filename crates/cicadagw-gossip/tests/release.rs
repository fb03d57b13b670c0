//! The releases that backend servers run are known to the whole fleet.

mod support;

use cicadagw_endpoint::{LocalUpdate, State};
use cicadagw_gossip::{Event, Member};
use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use support::{Fleet, local};

/// Time within which a change of an endpoint is known everywhere.
const PROPAGATION_MAX: Span = Span::new(250);

fn running(release: Option<&str>) -> Event {
    Event::Local(LocalUpdate {
        release: release.map(|name| name.parse().unwrap()),
        ..local("i-3", State::Ready)
    })
}

/// Returns the release of the only endpoint, as each node knows it.
fn releases(fleet: &Fleet) -> Vec<Option<id::Release>> {
    let release = |node: &support::Node| {
        let mut records = node.view.endpoints.values().flatten();
        records.next().and_then(|record| record.release.clone())
    };
    fleet.nodes.iter().map(release).collect()
}

#[test]
fn a_release_and_a_change_of_it_reach_all_nodes() {
    let mut fleet = Fleet::new(12);
    fleet.run(Span::seconds(3));

    fleet.step(3, running(Some("v1")));
    fleet.run(PROPAGATION_MAX);
    let first = releases(&fleet);
    fleet.step(3, running(None));
    fleet.run(PROPAGATION_MAX);

    assert_eq!(first, vec![Some("v1".parse().unwrap()); 12]);
    assert_eq!(releases(&fleet), vec![None; 12]);
}

#[test]
fn a_record_of_a_process_that_knows_no_releases_is_read() {
    let text = r#"{"backend":{"endpoint":"i-3","is_ready":true,"service":"orders","slots":9},
        "calls":"10.0.0.1:4","domain":"kozhikode-a","gossip":"10.0.0.1:4","is_leaving":false,
        "node":"node-0003","region":"kozhikode","stamp":[1,2]}"#;

    let member: Member = serde_json::from_str(text).unwrap();

    assert_eq!(member.backend.unwrap().release, None);
}
