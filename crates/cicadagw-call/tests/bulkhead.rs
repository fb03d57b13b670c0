//! A service with slow calls leaves room for calls to others.

use cicadagw_call::Bulkhead;
use cicadagw_unit::id;

fn service(name: &str) -> id::Service {
    name.parse().unwrap()
}

#[test]
fn calls_to_one_service_are_bounded_and_leave_room_for_others() {
    let mut bulkhead = Bulkhead::new(2);
    let (slow, other) = (service("export"), service("catalogue"));

    let started = [&slow, &slow, &slow, &other].map(|service| bulkhead.start(service));

    assert_eq!(started, [true, true, false, true]);
}

#[test]
fn an_ended_call_makes_room_for_another_to_its_service() {
    let mut bulkhead = Bulkhead::new(1);
    let slow = service("export");
    assert!(bulkhead.start(&slow));
    assert!(!bulkhead.start(&slow));

    bulkhead.end(&slow);

    assert!(bulkhead.start(&slow));
}
