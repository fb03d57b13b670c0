//! Under any sequence of faults, versions increase by one, no accepted change is lost, no change
//! takes effect twice, and the reported outcomes are correct.

use cicadagw_accept::{Intent, Outcome, Request, apply_change, load_snapshot, read_head};
use cicadagw_config::head::HISTORY_LEN;
use cicadagw_unit::id;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::runtime::{Builder, Runtime};

use crate::fixture::{apply, preset, request, rollback};
use crate::store::{Fake, Fault};

/// The maximum number of steps of a case.
const SIZE: usize = 64;

/// The seed of the generator.
const SEED: u64 = 7;

/// A change and the fault that occurs during it.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// The number of the change id; the small range makes ids repeat.
    change: u8,
    /// The number of the fault; 5 means none, unless `call` is 1, the read.
    fault: u8,
    /// The number of the request to the platform that fails.
    call: u8,
    /// The number of the intent.
    intent: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut below = |limit: u8| u8::arbitrary(g) % limit;
        Self {
            change: below(12),
            fault: below(6),
            call: below(4),
            intent: below(8),
        }
    }
}

impl Step {
    fn request(self) -> Request {
        let change = format!("change-{}", self.change);
        match self.intent {
            0 => preset(&change, "asha", "peak"),
            1 => preset(&change, "asha", "gone"),
            2 => rollback(&change, "asha", u64::from(self.change)),
            path => apply(&change, "asha", &format!("p{path}")),
        }
    }

    fn fault(self, other: Request) -> Option<Fault> {
        match self.fault {
            // A read fails only because the platform is unavailable; the other faults are of writes.
            _ if self.call == 1 => Some(Fault::Unavailable),
            0 => Some(Fault::LostAfterEffect),
            1 => Some(Fault::LostBeforeEffect),
            2 => Some(Fault::Unavailable),
            3 => Some(Fault::Superseded(vec![other])),
            4 => Some(Fault::LostThenSuperseded(vec![other])),
            _ => None,
        }
    }

    fn call(self) -> &'static str {
        match self.call {
            0 => "put part",
            1 => "get head",
            _ => "put head",
        }
    }
}

/// Returns a change of another operator, with a unique change id.
fn other(index: usize) -> Request {
    let first = apply(&format!("other-{index}"), "beena", &format!("o{index}"));
    let Intent::Apply { config, .. } = first.intent else {
        unreachable!("the fixture returns an apply intent");
    };
    let intent = Intent::Apply {
        config,
        preset: Some("ordinary".parse().unwrap()),
    };
    request(&format!("other-{index}"), "beena", intent)
}

fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
}

/// Returns whether the reported outcome of `request` agrees with the history.
async fn is_correct(store: &Fake, request: &Request, outcome: &Outcome, was_known: bool) -> bool {
    let found = read_head(store).await.unwrap();
    let entry = found
        .as_ref()
        .and_then(|found| found.head.find(&request.change));
    match outcome {
        Outcome::Accepted(reported) => !was_known && entry == Some(reported),
        Outcome::Known(reported) => was_known && entry == Some(reported),
        Outcome::Conflict(_) | Outcome::Refused(_) | Outcome::Unavailable(_) => {
            entry.is_some() == was_known
        }
        Outcome::Unknown(_) => true,
        Outcome::Trial(_) => false,
    }
}

/// Returns whether the versions in the history decrease by one, each change occurs once, and every
/// snapshot can be read.
async fn is_consistent(store: &Fake) -> bool {
    let Some(found) = read_head(store).await.unwrap() else {
        return true;
    };
    let history = &found.head.history;
    let is_decreasing = history
        .windows(2)
        .all(|pair| pair[1].stamp.version.next() == pair[0].stamp.version);
    let is_unique = history.iter().all(|entry| {
        history
            .iter()
            .filter(|other| other.change == entry.change)
            .count()
            == 1
    });
    let mut readable = true;
    for entry in history {
        readable &= load_snapshot(store, entry).await.is_ok();
    }
    is_decreasing && is_unique && readable
}

/// Returns whether the history still holds the most recent accepted changes, as many as fit in it.
async fn has_accepted(store: &Fake, accepted: &[id::Change]) -> bool {
    let Some(found) = read_head(store).await.unwrap() else {
        return accepted.is_empty();
    };
    let is_held = |change| found.head.find(change).is_some();
    accepted.iter().rev().take(HISTORY_LEN).all(is_held)
}

/// Returns whether the outcomes and the history are correct after each of `steps`.
async fn property(steps: Vec<Step>) -> bool {
    let store = Fake::default();
    let mut accepted = Vec::new();
    for (index, step) in steps.into_iter().enumerate() {
        let request = step.request();
        let found = read_head(&store).await.unwrap();
        let was_known = found.is_some_and(|found| found.head.find(&request.change).is_some());
        let other = other(index);
        let fault = step.fault(other.clone());
        let has_other = matches!(
            fault,
            Some(Fault::Superseded(_) | Fault::LostThenSuperseded(_))
        );
        if let Some(fault) = fault {
            store.fail(step.call(), fault);
        }
        let outcome = apply_change(&store, request.clone()).await;
        let fault_occurred = store.clear_faults() == 0;
        if matches!(outcome, Outcome::Accepted(_)) {
            accepted.push(request.change.clone());
        }
        if has_other && fault_occurred {
            accepted.push(other.change);
        }
        let is_valid = is_correct(&store, &request, &outcome, was_known).await
            && is_consistent(&store).await
            && has_accepted(&store, &accepted).await;
        if !is_valid {
            return false;
        }
    }
    true
}

#[test]
fn outcomes_are_correct_under_any_faults() {
    fn check(steps: Vec<Step>) -> bool {
        runtime().block_on(property(steps))
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(40)
        .quickcheck(check as fn(Vec<Step>) -> bool);
}
