//! A change takes effect completely and at most once, and the outcome that its operator receives is
//! correct.

use cicadagw_accept::{Intent, Outcome, Refusal, apply_change, load_snapshot};
use cicadagw_config::head::HISTORY_LEN;
use cicadagw_config::{Config, Delta, part};
use cicadagw_platform::{Key, Store};
use cicadagw_unit::Version;

use crate::fixture::{apply, config, count, current_entry, preset, request, rollback, store_with};
use crate::store::{Fake, Fault};

/// Returns the version of an accepted change.
fn version(outcome: &Outcome) -> Option<u64> {
    match outcome {
        Outcome::Accepted(entry) => Some(entry.stamp.version.get()),
        _ => None,
    }
}

/// Returns the operator and the version of the change that a conflict reports.
fn conflicting(outcome: &Outcome) -> Option<(String, u64)> {
    match outcome {
        Outcome::Conflict(Some(entry)) => {
            Some((entry.operator.to_string(), entry.stamp.version.get()))
        }
        _ => None,
    }
}

#[tokio::test(start_paused = true)]
async fn the_first_change_gets_version_one_and_the_default_preset() {
    let store = Fake::default();

    let outcome = apply_change(&store, apply("one", "asha", "shop")).await;

    assert_eq!(version(&outcome), Some(1));
    assert_eq!(current_entry(&store).await.preset.as_str(), "ordinary");
}

#[tokio::test(start_paused = true)]
async fn an_accepted_configuration_is_readable_from_its_parts_and_from_its_delta() {
    let store = store_with(&["shop"]).await;
    let first = load_snapshot(&store, &current_entry(&store).await)
        .await
        .unwrap();

    apply_change(&store, apply("two", "asha", "store")).await;

    let entry = current_entry(&store).await;
    let second = load_snapshot(&store, &entry).await.unwrap();
    let key = Key::part(entry.delta.unwrap());
    let bytes = store.get(&key).await.unwrap().unwrap().value.to_vec();
    let delta: Delta = part::unpack(&[bytes]).unwrap();
    assert_eq!(second.config, config("store"));
    assert_eq!(delta.apply(&first), Ok(second));
}

#[tokio::test(start_paused = true)]
async fn a_conflict_reports_the_change_that_was_accepted_first() {
    let store = store_with(&["shop"]).await;
    let other = apply("theirs", "beena", "theirs");
    store.fail("put head", Fault::Superseded(vec![other]));

    let outcome = apply_change(&store, apply("mine", "asha", "mine")).await;

    assert_eq!(conflicting(&outcome), Some(("beena".to_owned(), 2)));
    assert_eq!(count(&store, "mine").await, 0);
}

#[tokio::test(start_paused = true)]
async fn of_two_concurrent_preset_changes_one_is_a_conflict() {
    let store = store_with(&["shop"]).await;
    let other = preset("theirs", "beena", "peak");
    store.fail("put head", Fault::Superseded(vec![other]));

    let outcome = apply_change(&store, preset("mine", "asha", "peak")).await;

    assert_eq!(conflicting(&outcome), Some(("beena".to_owned(), 2)));
}

#[tokio::test(start_paused = true)]
async fn of_two_concurrent_first_changes_one_is_a_conflict() {
    let store = Fake::default();
    let other = apply("theirs", "beena", "theirs");
    store.fail("put head", Fault::Superseded(vec![other]));

    let outcome = apply_change(&store, apply("mine", "asha", "mine")).await;

    assert_eq!(conflicting(&outcome), Some(("beena".to_owned(), 1)));
}

#[tokio::test(start_paused = true)]
async fn a_change_based_on_an_older_version_is_a_conflict() {
    let store = store_with(&["shop", "store"]).await;
    let mut outdated = apply("late", "beena", "late");
    outdated.base = Some(Version::new(1));

    let outcome = apply_change(&store, outdated).await;

    assert_eq!(conflicting(&outcome), Some(("asha".to_owned(), 2)));
}

#[tokio::test(start_paused = true)]
async fn a_change_based_on_a_missing_version_is_a_conflict() {
    let store = Fake::default();
    let mut outdated = apply("late", "beena", "late");
    outdated.base = Some(Version::new(1));

    let outcome = apply_change(&store, outdated).await;

    assert_eq!(outcome, Outcome::Conflict(None));
    assert_eq!(store.keys(), []);
}

#[tokio::test(start_paused = true)]
async fn a_response_lost_after_the_update_does_not_repeat_the_change() {
    let store = store_with(&["shop"]).await;
    store.fail("put head", Fault::LostAfterEffect);

    let outcome = apply_change(&store, apply("two", "asha", "store")).await;

    assert_eq!(version(&outcome), Some(2));
    assert_eq!(count(&store, "two").await, 1);
    assert_eq!(current_entry(&store).await.stamp.version, Version::new(2));
}

#[tokio::test(start_paused = true)]
async fn a_response_lost_before_the_update_is_retried() {
    let store = store_with(&["shop"]).await;
    store.fail("put head", Fault::LostBeforeEffect);

    let outcome = apply_change(&store, apply("two", "asha", "store")).await;

    assert_eq!(version(&outcome), Some(2));
    assert_eq!(count(&store, "two").await, 1);
}

#[tokio::test(start_paused = true)]
async fn a_part_is_written_again_when_its_response_is_lost() {
    for fault in [Fault::LostAfterEffect, Fault::LostBeforeEffect] {
        let store = store_with(&["shop"]).await;
        store.fail("put part", fault);

        let outcome = apply_change(&store, apply("two", "asha", "store")).await;

        assert_eq!(version(&outcome), Some(2));
        let entry = current_entry(&store).await;
        assert_eq!(
            load_snapshot(&store, &entry).await.unwrap().config,
            config("store")
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_update_found_in_the_history_is_reported_as_accepted() {
    let store = store_with(&["shop"]).await;
    let other = apply("theirs", "beena", "theirs");
    store.fail("put head", Fault::LostThenSuperseded(vec![other]));

    let outcome = apply_change(&store, apply("mine", "asha", "mine")).await;

    assert_eq!(version(&outcome), Some(2));
    assert_eq!(current_entry(&store).await.operator.as_str(), "beena");
}

#[tokio::test(start_paused = true)]
async fn a_lost_update_evicted_from_the_history_is_reported_as_unknown() {
    let store = store_with(&["shop"]).await;
    let others = (0..40)
        .map(|index| apply(&format!("theirs-{index}"), "beena", &format!("t{index}")))
        .collect();
    store.fail("put head", Fault::LostThenSuperseded(others));

    let outcome = apply_change(&store, apply("mine", "asha", "mine")).await;

    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_after_a_lost_response_is_reported_as_unknown() {
    let store = store_with(&["shop"]).await;
    store.fail("put head", Fault::OutageAfterEffect);

    let outcome = apply_change(&store, apply("two", "asha", "store")).await;

    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_before_the_update_changes_nothing() {
    for call in ["get head", "get part", "put part", "put head"] {
        let store = store_with(&["shop"]).await;
        let before = current_entry(&store).await;
        store.fail(call, Fault::Unavailable);

        let outcome = apply_change(&store, apply("two", "asha", "store")).await;

        assert!(
            matches!(outcome, Outcome::Unavailable(_)),
            "{call}: {outcome:?}"
        );
        assert_eq!(current_entry(&store).await, before);
    }
}

#[tokio::test(start_paused = true)]
async fn a_repeated_change_returns_its_original_version() {
    let store = store_with(&["shop", "store"]).await;

    let outcome = apply_change(&store, apply("first-0", "asha", "shop")).await;

    let Outcome::Known(entry) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(entry.stamp.version, Version::new(1));
    assert_eq!(current_entry(&store).await.stamp.version, Version::new(2));
}

#[tokio::test(start_paused = true)]
async fn a_change_id_reused_for_another_change_is_refused() {
    let store = store_with(&["shop"]).await;

    let outcome = apply_change(&store, apply("first-0", "asha", "store")).await;

    let reused = Refusal::Reused(Version::new(1));
    assert_eq!(outcome, Outcome::Refused(reused));
}

#[tokio::test(start_paused = true)]
async fn a_rollback_gets_a_new_version() {
    let store = store_with(&["shop", "store"]).await;
    apply_change(&store, preset("peak", "asha", "peak")).await;

    let outcome = apply_change(&store, rollback("back", "asha", 1)).await;

    let entry = current_entry(&store).await;
    assert_eq!(version(&outcome), Some(4));
    assert_eq!(entry.preset.as_str(), "ordinary");
    assert_eq!(
        load_snapshot(&store, &entry).await.unwrap().config,
        config("shop")
    );
}

#[tokio::test(start_paused = true)]
async fn an_invalid_change_has_no_effect() {
    let mut faulty = config("store");
    faulty.clusters.clear();
    let mut redacted = config("store");
    let secret = r#"{ "header": "x-key", "value": "[redacted]" }"#;
    let secret = serde_json::from_str(secret).unwrap();
    redacted.secrets.insert("key".parse().unwrap(), secret);
    let mut no_preset = config("store");
    no_preset.presets.remove(&"ordinary".parse().unwrap());
    let replace = |config: Config| Intent::Apply {
        config: Box::new(config),
        preset: None,
    };
    let requests = [
        request("faulty", "asha", replace(faulty)),
        request("redacted", "asha", replace(redacted)),
        request("no-preset", "asha", replace(no_preset)),
        preset("preset", "asha", "gone"),
        rollback("back", "asha", 9),
    ];
    let store = store_with(&["shop"]).await;
    let before = (store.keys(), current_entry(&store).await);
    let mut refusals = Vec::new();

    for request in requests {
        match apply_change(&store, request).await {
            Outcome::Refused(refusal) => refusals.push(refusal.to_string()),
            outcome => panic!("{outcome:?}"),
        }
    }

    insta::assert_snapshot!(refusals.join("\n"));
    assert_eq!((store.keys(), current_entry(&store).await), before);
}

#[tokio::test(start_paused = true)]
async fn a_preset_change_without_configuration_is_refused() {
    let store = Fake::default();

    let outcome = apply_change(&store, preset("peak", "asha", "peak")).await;

    assert_eq!(outcome, Outcome::Refused(Refusal::Empty));
    assert_eq!(store.keys(), []);
}

#[tokio::test(start_paused = true)]
async fn a_dry_run_writes_nothing() {
    let store = store_with(&["shop"]).await;
    let before = store.keys();
    let mut dry_run = apply("two", "asha", "store");
    dry_run.trial = true;

    let outcome = apply_change(&store, dry_run).await;

    assert!(matches!(outcome, Outcome::Trial(_)), "{outcome:?}");
    assert_eq!(store.keys(), before);
}

#[tokio::test(start_paused = true)]
async fn applying_a_whole_configuration_replaces_a_missing_part() {
    let store = store_with(&["shop"]).await;
    store.remove(&Key::part(current_entry(&store).await.parts[0]));

    let switched = apply_change(&store, preset("peak", "asha", "peak")).await;
    let applied = apply_change(&store, apply("two", "asha", "store")).await;

    assert!(matches!(switched, Outcome::Refused(Refusal::Unreadable(_))));
    assert_eq!(version(&applied), Some(2));
    assert_eq!(current_entry(&store).await.delta, None);
}

#[tokio::test(start_paused = true)]
async fn parts_that_the_history_no_longer_references_are_removed() {
    let paths: Vec<String> = (0..HISTORY_LEN + 5)
        .map(|index| format!("p{index}"))
        .collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();

    let store = store_with(&paths).await;

    // Each change in the history has one part for the whole configuration and one for the delta;
    // the head is the remaining object.
    assert_eq!(store.keys().len(), 2 * HISTORY_LEN + 1);
    let found = cicadagw_accept::read_head(&store).await.unwrap().unwrap();
    for entry in &found.head.history {
        load_snapshot(&store, entry).await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn a_configuration_applied_again_while_its_parts_are_removed_stays_readable() {
    let paths: Vec<String> = (0..HISTORY_LEN).map(|index| format!("p{index}")).collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    let store = store_with(&paths).await;
    let again = apply("again", "beena", "p0");
    store.fail("delete part", Fault::Superseded(vec![again]));

    apply_change(&store, apply("more", "asha", "more")).await;

    let entry = current_entry(&store).await;
    assert_eq!(entry.operator.as_str(), "beena");
    assert_eq!(
        load_snapshot(&store, &entry).await.unwrap().config,
        config("p0")
    );
}
