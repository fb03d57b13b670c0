//! Which backend server of a release has a fault of its own.

use cicadagw_rollout::{Sample, Tally, faulty};

fn sample(ended: u64, failed: u64) -> Sample {
    Sample {
        total: Tally {
            sent: ended,
            ended,
            failed,
            ..Tally::default()
        },
        ..Sample::default()
    }
}

#[test]
fn a_backend_server_with_most_calls_is_not_to_blame_for_a_bad_release() {
    for target in [
        [sample(200, 60), sample(20, 6)],
        [sample(200, 60), sample(8, 1)],
        [sample(200, 20), sample(20, 0)],
    ] {
        assert_eq!(faulty(&target), None, "{target:?}");
    }
}

#[test]
fn a_backend_server_that_fails_several_times_as_often_as_the_others_is_left_out() {
    for target in [
        [sample(40, 40), sample(40, 0)],
        [sample(6, 6), sample(6, 0)],
        [sample(100, 30), sample(400, 12)],
    ] {
        assert_eq!(faulty(&target), Some(0), "{target:?}");
    }
}
