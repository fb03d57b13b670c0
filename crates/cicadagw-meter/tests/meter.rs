//! Counters count what they are told, and tell their labels apart.

use std::time::Duration;

use cicadagw_endpoint::State;
use cicadagw_meter::{BOUNDS_MICROS, Histogram, Meter, Operation, Success};
use cicadagw_unit::Version;

#[test]
fn platform_calls_are_told_apart_by_operation_and_success() {
    let meter = Meter::default();

    for (index, operation) in Operation::ALL.iter().enumerate() {
        for _ in 0..index {
            meter.platform_called(*operation, Success::Answered);
        }
        meter.platform_called(*operation, Success::Failed);
    }

    for (index, operation) in (0..).zip(Operation::ALL) {
        let answered = meter.platform_calls(*operation, Success::Answered);
        let failed = meter.platform_calls(*operation, Success::Failed);
        assert_eq!((answered, failed), (index, 1));
    }
}

#[test]
fn endpoints_are_told_apart_by_state() {
    let meter = Meter::default();

    meter.set_endpoints(State::Ready, 7);
    meter.set_endpoints(State::Draining, 2);

    let states = [State::Ready, State::Draining, State::Gone];
    assert_eq!(states.map(|state| meter.endpoints(state)), [7, 2, 0]);
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
fn a_time_at_a_bound_falls_below_it() {
    let histogram = Histogram::default();

    histogram.record(Duration::from_micros(BOUNDS_MICROS[0]));
    histogram.record(Duration::from_micros(BOUNDS_MICROS[0] + 1));
    histogram.record(Duration::from_mins(1));

    let latency = histogram.read();
    assert_eq!(latency.buckets[..2], [1, 1]);
    assert_eq!(latency.buckets[BOUNDS_MICROS.len()], 1);
    assert_eq!(latency.count(), 3);
}
