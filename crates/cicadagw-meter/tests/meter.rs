//! Counters count what they are told, and tell their labels apart.

use std::time::Duration;

use cicadagw_meter::{BOUNDS_MICROS, Kind, Meter, Outcome, Reach, Readiness};
use cicadagw_unit::Version;
use cicadagw_unit::size::Bytes;

#[test]
fn messages_are_told_apart_by_kind_and_reach() {
    let meter = Meter::default();

    for (index, kind) in (1..).zip(Kind::ALL) {
        meter.sent(*kind, Reach::Within, Bytes::new(index));
        meter.sent(*kind, Reach::Across, Bytes::new(100 * index));
    }

    for (index, kind) in (1..).zip(Kind::ALL) {
        assert_eq!(meter.sent_bytes(*kind, Reach::Within), Bytes::new(index));
        assert_eq!(
            meter.sent_bytes(*kind, Reach::Across),
            Bytes::new(100 * index)
        );
    }
}

#[test]
fn a_lower_version_changes_nothing() {
    let meter = Meter::default();

    meter.hold(Version::new(7));
    meter.hold(Version::new(5));
    meter.see(Version::new(6));

    assert_eq!(
        (meter.held(), meter.seen()),
        (Version::new(7), Version::new(7))
    );
}

#[test]
fn a_node_is_ready_from_its_first_version_until_it_drains() {
    let meter = Meter::default();

    let empty = meter.readiness();
    meter.hold(Version::new(1));
    let ready = meter.readiness();
    meter.drain();
    let draining = meter.readiness();

    assert_eq!(
        [empty, ready, draining],
        [Readiness::Empty, Readiness::Ready, Readiness::Draining]
    );
}

#[test]
fn a_call_is_in_flight_until_it_is_dropped() {
    let meter = Meter::default();

    let call = meter.begin_call();
    let during = meter.in_flight();
    drop(call);
    meter.call_ended(Outcome::NotRun);

    assert_eq!((during, meter.in_flight()), (1, 0));
    assert_eq!(meter.calls(Outcome::NotRun), 1);
}

#[test]
fn a_time_at_a_bound_falls_below_it() {
    let meter = Meter::default();

    meter.added(Duration::from_micros(BOUNDS_MICROS[0]));
    meter.added(Duration::from_micros(BOUNDS_MICROS[0] + 1));
    meter.added(Duration::from_mins(1));

    let latency = meter.latency();
    assert_eq!(latency.buckets[..2], [1, 1]);
    assert_eq!(latency.buckets[BOUNDS_MICROS.len()], 1);
    assert_eq!(latency.count(), 3);
}
