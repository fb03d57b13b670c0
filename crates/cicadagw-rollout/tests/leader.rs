//! The decisions of the leader of a rollout, under load.

mod support;

use cicadagw_rollout::{Phase, Report, Tally};
use cicadagw_unit::time::Span;
use support::{Behaviour, Service, leader};

const DURATION: Span = Span::seconds(12);

/// The time after the fiftieth bad answer within which the last call may be sent to a bad release.
const ROLLBACK_MAX: Span = Span::seconds(5);

#[test]
fn a_good_release_gets_all_calls_within_the_duration() {
    for (sizes, rate, target_from, cold_until) in [
        ((15, 15), 336, 1, 0),
        ((34, 34), 551, 2, 6),
        ((15, 3), 336, 3, 8),
        ((41, 1), 310, 1, 4),
        ((3, 3), 4, 1, 0),
        ((9, 9), 0, 1, 0),
    ] {
        let mut service = Service::new(DURATION, sizes, Behaviour::Good);
        service.rate = rate;
        service.target_from = Span::seconds(target_from);
        service.cold_until = Span::seconds(cold_until);

        let phase = service.run_until(DURATION);

        assert_eq!(
            phase,
            Phase::Done,
            "{sizes:?} backend servers, {rate} calls a second"
        );
    }
}

#[test]
fn a_good_release_with_one_faulty_backend_server_gets_all_calls() {
    let mut service = Service::new(DURATION, (15, 15), Behaviour::Good);
    service.faulty = Some(1);

    assert_eq!(service.run_until(DURATION), Phase::Done);
}

#[test]
fn a_bad_release_is_left_within_the_allowance() {
    for duration in [Span::seconds(12), Span::seconds(30), Span::seconds(60)] {
        for rate in [68, 336, 700] {
            for behaviour in [
                Behaviour::FailsFrom(Span::new(0), 1_000),
                Behaviour::FailsFrom(Span::new(0), 300),
                Behaviour::FailsFrom(Span::new(0), 100),
                Behaviour::FailsFrom(Span::seconds(4), 300),
                Behaviour::FailsFrom(Span::seconds(6), 500),
                Behaviour::FailsAbove(rate / 40),
                Behaviour::FailsOneRoute,
                Behaviour::SlowFrom(Span::new(0), 4),
            ] {
                let mut service = Service::new(duration, (15, 15), behaviour);
                service.rate = rate;

                let phase = service.run_until(duration.plus(Span::seconds(1)));
                service.run_on(duration);

                let case = format!("{behaviour:?} {duration} at {rate}/s");
                assert_eq!(phase, Phase::RolledBack, "{case}");
                let allowance = service.allowance();
                assert!(
                    service.exposed <= allowance,
                    "{case}: {} of {allowance}",
                    service.exposed
                );
                if let Some(at) = service.fiftieth_bad_at {
                    assert!(service.last_exposed_at.since(at) <= ROLLBACK_MAX, "{case}");
                }
            }
        }
    }
}

#[test]
fn a_release_that_turns_bad_after_many_good_answers_is_left() {
    let duration = Span::seconds(60);
    for behaviour in [
        Behaviour::SlowFrom(Span::seconds(45), 4),
        Behaviour::FailsFrom(Span::seconds(45), 150),
    ] {
        let mut service = Service::new(duration, (15, 15), behaviour);

        let phase = service.run_until(duration);
        service.run_on(duration);

        assert_eq!(phase, Phase::RolledBack, "{behaviour:?}");
        let at = service.fiftieth_bad_at.unwrap_or(service.now);
        assert!(
            service.last_exposed_at.since(at) <= ROLLBACK_MAX,
            "{behaviour:?}"
        );
    }
}

#[test]
fn a_target_without_backend_servers_is_rolled_back_at_the_end() {
    let mut service = Service::new(DURATION, (15, 0), Behaviour::Good);

    let before = service.run_until(Span::new(DURATION.get() - 200));
    let after = service.run_until(DURATION.plus(Span::seconds(1)));

    assert_eq!((before, after), (Phase::Waiting, Phase::RolledBack));
    assert_eq!(service.exposed, 0);
}

#[test]
fn another_leader_continues_in_each_phase() {
    for stopped_at in [
        Span::new(500),
        Span::seconds(3),
        Span::seconds(9),
        Span::seconds(11),
    ] {
        let mut service = Service::new(DURATION, (15, 15), Behaviour::Good);
        service.run_until(stopped_at);
        let status = service.leader.status().clone();

        service.leader = leader(service.now, DURATION, Some(status.clone()));
        let phase = service.run_until(DURATION.plus(Span::seconds(3)));

        assert_eq!(phase, Phase::Done, "replaced in phase {}", status.phase);
    }
}

#[test]
fn another_leader_leaves_a_release_that_its_reports_show_to_be_bad() {
    let behaviour = Behaviour::FailsFrom(Span::seconds(4), 400);
    let mut service = Service::new(DURATION, (15, 15), behaviour);
    service.run_until(Span::new(4_500));
    let status = service.leader.status().clone();

    service.leader = leader(service.now, DURATION, Some(status));
    let phase = service.run_until(DURATION);
    service.run_on(DURATION);

    assert_eq!(phase, Phase::RolledBack);
    assert!(service.exposed <= service.allowance());
}

#[test]
fn reports_with_the_largest_counts_are_added_up() {
    let mut service = Service::new(DURATION, (3, 3), Behaviour::Good);
    service.run_until(Span::seconds(3));
    let started_ms = service.leader.status().started_ms;
    for endpoint in ["new-0", "new-1", "old-0"] {
        let tally = Tally::from((u64::MAX, u64::MAX, u64::MAX, u64::MAX, u64::MAX));
        let report = Report {
            endpoint: endpoint.parse().unwrap(),
            in_flight: u32::MAX,
            policies: std::iter::once(("read".parse().unwrap(), tally)).collect(),
            refuses: false,
            release: Some(
                if endpoint == "old-0" { "v1" } else { "v2" }
                    .parse()
                    .unwrap(),
            ),
            service: "orders".parse().unwrap(),
            started_ms,
            total: tally,
        };
        service.leader.report(service.now, report);
    }

    let unix_ms = support::UNIX_MS + service.now.get();
    service
        .leader
        .decide(service.now, unix_ms, &service.records);

    assert_eq!(service.leader.exposure(), (u64::MAX, u64::MAX));
}
