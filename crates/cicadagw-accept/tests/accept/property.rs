//! Whatever goes wrong, versions rise by one, no accepted change is lost, no change takes effect twice, and what operators are
//! told is true.

use cicadagw_accept::{Intent, Outcome, Request, head, load, run};
use cicadagw_config::head::HISTORY_LEN;
use cicadagw_unit::id;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use tokio::runtime::{Builder, Runtime};

use crate::fixture::{apply, preset, request, rollback};
use crate::store::{Fake, Fault};

/// How many steps a case has at the most.
const SIZE: usize = 64;

/// The seed of all cases.
const SEED: u64 = 7;

/// One change with what goes wrong meanwhile.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// Which change id is used, so that some come again.
    change: u8,
    /// Which fault comes with it.
    fault: u8,
    /// Which call goes wrong.
    call: u8,
    /// What is asked.
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
            // Every fault of a read is an outage.
            _ if self.call == 1 => Some(Fault::Unavailable),
            0 => Some(Fault::LostAfter),
            1 => Some(Fault::LostBefore),
            2 => Some(Fault::Unavailable),
            3 => Some(Fault::Overtaken(vec![other])),
            4 => Some(Fault::LostThenOvertaken(vec![other])),
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

/// A change of another operator, with an id of its own.
fn other(index: usize) -> Request {
    let first = apply(&format!("other-{index}"), "beena", &format!("o{index}"));
    let Intent::Apply { config, .. } = first.intent else {
        unreachable!("it applies a configuration");
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

/// Tells whether what the operator was told of `request` is so.
async fn is_true(store: &Fake, request: &Request, outcome: &Outcome, was_known: bool) -> bool {
    let found = head(store).await.unwrap();
    let entry = found
        .as_ref()
        .and_then(|found| found.head.find(&request.change));
    match outcome {
        Outcome::Accepted(told) => !was_known && entry == Some(told),
        Outcome::Known(told) => was_known && entry == Some(told),
        Outcome::Conflict(_) | Outcome::Refused(_) | Outcome::Unavailable(_) => {
            entry.is_some() == was_known
        }
        Outcome::Unknown(_) => true,
        Outcome::Trial(_) => false,
    }
}

/// Tells whether the history counts down by one, names each change once, and can be read.
async fn is_whole(store: &Fake) -> bool {
    let Some(found) = head(store).await.unwrap() else {
        return true;
    };
    let history = &found.head.history;
    let falls = history
        .windows(2)
        .all(|pair| pair[1].stamp.version.next() == pair[0].stamp.version);
    let once = history.iter().all(|entry| {
        history
            .iter()
            .filter(|other| other.change == entry.change)
            .count()
            == 1
    });
    let mut readable = true;
    for entry in history {
        readable &= load(store, entry).await.is_ok();
    }
    falls && once && readable
}

/// Tells whether the history still holds every accepted change that is not too old for it.
async fn is_kept(store: &Fake, accepted: &[id::Change]) -> bool {
    let Some(found) = head(store).await.unwrap() else {
        return accepted.is_empty();
    };
    let is_held = |change| found.head.find(change).is_some();
    accepted.iter().rev().take(HISTORY_LEN).all(is_held)
}

async fn holds(steps: Vec<Step>) -> bool {
    let store = Fake::default();
    let mut accepted = Vec::new();
    for (index, step) in steps.into_iter().enumerate() {
        let request = step.request();
        let found = head(&store).await.unwrap();
        let was_known = found.is_some_and(|found| found.head.find(&request.change).is_some());
        let other = other(index);
        let fault = step.fault(other.clone());
        let has_other = matches!(
            fault,
            Some(Fault::Overtaken(_) | Fault::LostThenOvertaken(_))
        );
        if let Some(fault) = fault {
            store.fail(step.call(), fault);
        }
        let outcome = run(&store, request.clone()).await;
        let came_to_pass = store.mend() == 0;
        if matches!(outcome, Outcome::Accepted(_)) {
            accepted.push(request.change.clone());
        }
        if has_other && came_to_pass {
            accepted.push(other.change);
        }
        let is_good = is_true(&store, &request, &outcome, was_known).await
            && is_whole(&store).await
            && is_kept(&store, &accepted).await;
        if !is_good {
            return false;
        }
    }
    true
}

#[test]
fn no_fault_makes_an_acceptance_lie() {
    fn check(steps: Vec<Step>) -> bool {
        runtime().block_on(holds(steps))
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(40)
        .quickcheck(check as fn(Vec<Step>) -> bool);
}
