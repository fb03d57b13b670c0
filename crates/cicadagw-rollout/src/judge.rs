//! Whether a release is worse than the others of its service.

use std::fmt;

use cicadagw_unit::id;
use smallvec::SmallVec;

use crate::{Sample, Tally};

/// The failure share that does not speak against a release, even if no other one fails.
const FAILURE_FLOOR: f64 = 0.01;

/// How often a release must fail before that speaks against it.
const FAILURES_MIN: u64 = 6;

/// How many times more often than the others a bad release fails.
const FAILURE_FACTOR: f64 = 3.0;

/// How many failures beyond that may be chance.
const FAILURE_CHANCE: f64 = 4.0;

/// How often a release must fail to be doubtful.
const DOUBT_FAILURES_MIN: u64 = 2;

/// How many failures of a release that is not doubtful may be chance.
const DOUBT_CHANCE: f64 = 1.0;

/// How many times slower a bad release is, with how many answers: the fewer they are, the slower it
/// must be. Backend servers of one release differ up to threefold in speed.
const SLOW: [(u64, f64); 2] = [(12, 3.0), (25, 2.2)];

/// The time in milliseconds by which a bad release is slower at least.
const SLOW_MS_MIN: f64 = 20.0;

/// The answers from which on the work time of the other releases is known.
const BASE_ANSWERS_MIN: u64 = 12;

/// The calls from which on a backend server counts as tested. What only one of them does is no fault
/// of the release.
const TESTED_MIN: u64 = 5;

/// How many times as often as the others a backend server fails that has a fault of its own.
const ALONE_FACTOR: f64 = 4.0;

/// How many failures tell that: those of the one backend server, and those that the others would
/// have if they failed as often.
const ALONE_MIN: u64 = 5;

/// What is wrong with a release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It fails too often.
    Failing {
        /// The policy whose calls fail; all of them if `None`.
        policy: Option<id::Policy>,
        /// How many failed.
        failed: u64,
        /// How many ended.
        ended: u64,
    },
    /// It is several times slower.
    Slow {
        /// The policy whose calls are slow.
        policy: Option<id::Policy>,
        /// The average work time, in milliseconds.
        work_ms: u64,
        /// The average work time of the other releases, in milliseconds.
        base_ms: u64,
    },
}

/// What is known of a release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clear,
    /// It fails more often than the others, but that may be chance.
    Doubtful,
    /// It is worse than the others.
    Bad(Fault),
}

/// Returns which of the backend servers of the target release fails several times as often as the
/// other tested ones together, if these got enough calls to tell. That is no fault of the release.
pub fn faulty(target: &[Sample]) -> Option<usize> {
    let is_tested = |sample: &&Sample| sample.total.ended >= TESTED_MIN;
    let tested = target.iter().filter(is_tested);
    let all = sum(tested.map(|sample| sample.total));
    let is_alone = |sample: &Sample| {
        let own = sample.total;
        let others = all.since(own);
        let expected = own.failed as f64 / own.ended.max(1) as f64 * others.ended as f64;
        let is_certain = own.failed >= ALONE_MIN && expected >= ALONE_MIN as f64;
        is_certain && others.failed as f64 * ALONE_FACTOR <= expected
    };
    target
        .iter()
        .position(|sample| is_tested(&sample) && is_alone(sample))
}

/// Compares the backend servers of the target release with those of the others.
///
/// Each policy is compared on its own, since a release may be bad on one route only.
pub fn judge(target: &[Sample], base: &[Sample]) -> Verdict {
    let mut verdict = Verdict::Clear;
    for policy in policies(target) {
        match judge_policy(policy, target, base) {
            Verdict::Bad(fault) => return Verdict::Bad(fault),
            Verdict::Doubtful => verdict = Verdict::Doubtful,
            Verdict::Clear => {}
        }
    }
    verdict
}

/// Returns `None`, which stands for all calls together, and the policies of the samples.
fn policies(samples: &[Sample]) -> SmallVec<[Option<&id::Policy>; 8]> {
    let mut all: SmallVec<[Option<&id::Policy>; 8]> = SmallVec::new();
    all.push(None);
    for (policy, _) in samples.iter().flat_map(|sample| &sample.policies) {
        if !all.contains(&Some(policy)) {
            all.push(Some(policy));
        }
    }
    all
}

fn judge_policy(policy: Option<&id::Policy>, target: &[Sample], base: &[Sample]) -> Verdict {
    let others = sum(base.iter().map(|sample| sample.of(policy)));
    let failing = sum(target.iter().map(|sample| sample.of(policy)));
    let expected = failing.ended as f64 * failure_share(others) * FAILURE_FACTOR;
    let failed = failing.failed as f64;
    if failing.failed >= FAILURES_MIN && failed > expected + FAILURE_CHANCE {
        return Verdict::Bad(Fault::Failing {
            policy: policy.cloned(),
            failed: failing.failed,
            ended: failing.ended,
        });
    }
    let slow = without_worst(target, policy, work_ms);
    let (work, base_work) = (work_ms(&slow), work_ms(&others));
    let is_known = others.warm >= BASE_ANSWERS_MIN && work > base_work + SLOW_MS_MIN;
    let mut limits = SLOW.iter();
    // The work times of different policies differ, and so may their mix.
    let is_comparable = policy.is_some();
    if is_known
        && is_comparable
        && limits.any(|(answers, factor)| slow.warm >= *answers && work > base_work * factor)
    {
        return Verdict::Bad(Fault::Slow {
            policy: policy.cloned(),
            work_ms: slow.work_ms / slow.warm.max(1),
            base_ms: others.work_ms / others.warm.max(1),
        });
    }
    if failing.failed >= DOUBT_FAILURES_MIN && failed > expected + DOUBT_CHANCE {
        return Verdict::Doubtful;
    }
    Verdict::Clear
}

/// Returns the failure share of the other releases, at least [`FAILURE_FLOOR`].
fn failure_share(others: Tally) -> f64 {
    let share = (others.failed as f64 + FAILURE_FLOOR) / (others.ended as f64 + 1.0);
    share.max(FAILURE_FLOOR)
}

/// Returns the average work time of warm answers in milliseconds.
fn work_ms(tally: &Tally) -> f64 {
    tally.work_ms as f64 / tally.warm.max(1) as f64
}

fn sum(tallies: impl Iterator<Item = Tally>) -> Tally {
    tallies.fold(Tally::default(), Tally::plus)
}

/// Returns the sum of the counts of all backend servers but the worst one that has been tested, if at
/// least two have been.
fn without_worst(
    samples: &[Sample],
    policy: Option<&id::Policy>,
    badness: impl Fn(&Tally) -> f64,
) -> Tally {
    let all = sum(samples.iter().map(|sample| sample.of(policy)));
    let is_tested = |sample: &&Sample| sample.total.ended >= TESTED_MIN;
    if samples.iter().filter(is_tested).count() < 2 {
        return all;
    }
    let tested = samples.iter().filter(is_tested);
    let worst = tested
        .map(|sample| sample.of(policy))
        .max_by(|left, right| badness(left).total_cmp(&badness(right)));
    all.since(worst.unwrap_or_default())
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let policy = |policy: &Option<id::Policy>| match policy {
            Some(policy) => format!("calls under {policy}"),
            None => "calls".to_owned(),
        };
        match self {
            Self::Failing {
                policy: failing,
                failed,
                ended,
            } => write!(f, "{failed} of {ended} {} failed", policy(failing)),
            Self::Slow {
                policy: slow,
                work_ms,
                base_ms,
            } => write!(
                f,
                "{} take {work_ms}ms instead of {base_ms}ms",
                policy(slow)
            ),
        }
    }
}
