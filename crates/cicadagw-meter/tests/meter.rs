//! Counters keep the values of their labels apart, versions only grow, and bucket bounds are
//! inclusive.

use std::time::Duration;

use cicadagw_endpoint::State;
use cicadagw_meter::{BOUNDS_MICROS, Histogram, Meter, Operation, PlatformOutcome};
use cicadagw_unit::Version;

#[test]
fn platform_calls_are_counted_by_operation_and_outcome() {
    let meter = Meter::default();

    for (index, operation) in Operation::ALL.iter().enumerate() {
        for _ in 0..index {
            meter.count_platform_call(*operation, PlatformOutcome::Answered);
        }
        meter.count_platform_call(*operation, PlatformOutcome::Failed);
    }

    for (index, operation) in (0..).zip(Operation::ALL) {
        let answered = meter.platform_calls(*operation, PlatformOutcome::Answered);
        let failed = meter.platform_calls(*operation, PlatformOutcome::Failed);
        assert_eq!((answered, failed), (index, 1));
    }
}

#[test]
fn endpoints_are_counted_by_state() {
    let meter = Meter::default();

    meter.set_endpoints(State::Ready, 7);
    meter.set_endpoints(State::Draining, 2);

    let states = [State::Ready, State::Draining, State::Gone];
    assert_eq!(states.map(|state| meter.endpoints(state)), [7, 2, 0]);
}

#[test]
fn a_lower_version_does_not_replace_a_higher_one() {
    let meter = Meter::default();

    meter.record_held(Version::new(7));
    meter.record_held(Version::new(5));
    meter.record_seen(Version::new(6));

    assert_eq!(
        (meter.version_held(), meter.highest_seen()),
        (Version::new(7), Version::new(7))
    );
}

#[test]
fn a_latency_at_a_bound_is_counted_in_the_bucket_below() {
    let histogram = Histogram::default();

    histogram.record(Duration::from_micros(BOUNDS_MICROS[0]));
    histogram.record(Duration::from_micros(BOUNDS_MICROS[0] + 1));
    histogram.record(Duration::from_mins(1));

    let latency = histogram.read();
    assert_eq!(latency.buckets[..2], [1, 1]);
    assert_eq!(latency.buckets[BOUNDS_MICROS.len()], 1);
    assert_eq!(latency.count(), 3);
}
