//! Quotas hold over all nodes together, whatever fails, and no call below a quota is refused.

#![allow(unreachable_pub, reason = "the fixtures are a module of this test")]

mod network;

use cicadagw_call::quota::{Answer, Ask, Decision, Grant, Refusal, Shares, State, chart};
use cicadagw_unit::id;
use cicadagw_unit::rate::Tokens;
use cicadagw_unit::time::{Span, Timestamp};
use network::{Network, account, bound, quota};
use quickcheck::{Gen, QuickCheck};

/// The seed of the generated test cases, their number, and their size.
const SEED: u64 = 38;
const CASES: u64 = 20;
const SIZE: usize = 12;

/// Returns a fleet of 4 failure domains with 16 nodes each.
fn fleet(seed: u64) -> Network {
    Network::new(4, 16, seed)
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::new(milliseconds)
}

/// Returns the answer of an owner that has `tokens` for `ask` and nothing else.
fn granted(ask: &Ask, tokens: u32) -> Grant {
    Grant {
        account: ask.account.clone(),
        answer: Answer::Granted {
            is_dry: true,
            pace: Span::new(100),
            tokens: Tokens::new(tokens),
        },
        number: ask.number,
    }
}

/// Runs the network for `ms` milliseconds; `arrivals` returns the nodes at which a call of `account`
/// arrives in a millisecond.
fn run(
    network: &mut Network,
    ms: u64,
    account: &id::Account,
    mut arrivals: impl FnMut(&mut Network) -> Vec<usize>,
) {
    let end = network.now + ms;
    while network.now < end {
        network.tick();
        for node in arrivals(network) {
            network.call(node, account);
        }
    }
}

/// Returns `per_second` calls a second on average, each at a random one of `nodes`.
fn traffic(
    per_second: u64,
    nodes: std::ops::Range<usize>,
) -> impl FnMut(&mut Network) -> Vec<usize> {
    move |network| {
        // Ten chances each millisecond, so that rates up to 10,000 calls a second are possible.
        let chances = 0..10;
        let hits: Vec<_> = chances
            .filter(|_| network.random(10_000) < per_second)
            .collect();
        let count = nodes.len() as u64;
        hits.iter()
            .map(|_| nodes.start + usize::try_from(network.random(count)).unwrap())
            .collect()
    }
}

#[test]
fn chart_is_valid() {
    let chart = chart();

    assert_eq!(chart.initial(), State::Open);
}

#[test]
fn usual_traffic_is_not_refused() {
    for (usual, limit) in [(423, quota(677, 677)), (5, quota(8, 8)), (2, quota(3, 3))] {
        let mut network = fleet(1);
        let account = account("club");
        network.quotas.insert(account.clone(), limit);

        run(&mut network, 20_000, &account, traffic(usual, 0..64));

        assert_eq!(network.log.refused_below(&account, limit), 0, "{limit:?}");
    }
}

#[test]
fn calls_are_not_refused_when_all_callers_move_to_another_failure_domain() {
    for (usual, limit) in [(423, quota(677, 677)), (5, quota(8, 8))] {
        let mut network = fleet(2);
        let account = account("club");
        network.quotas.insert(account.clone(), limit);
        run(&mut network, 10_000, &account, traffic(usual, 0..16));

        run(&mut network, 10_000, &account, traffic(usual, 48..64));

        assert_eq!(network.log.refused_below(&account, limit), 0, "{limit:?}");
    }
}

#[test]
fn account_at_one_node_gets_its_whole_quota_and_no_more() {
    let mut network = fleet(3);
    let account = account("club");
    let limit = quota(200, 200);
    network.quotas.insert(account.clone(), limit);
    run(&mut network, 5_000, &account, traffic(125, 5..6));
    assert_eq!(network.log.refused_below(&account, limit), 0);

    run(&mut network, 10_000, &account, traffic(940, 5..6));

    // 125 calls a second for 5 s, then the burst and 200 calls a second for 10 s, less a tenth.
    let allowed = 625 + 200 + 2_000;
    let taken = network.log.taken(&account);
    assert!(taken >= allowed * 9 / 10, "{taken} of {allowed} calls");
    let most = network.log.most_in_window(&account);
    assert!(most <= bound(limit), "{most} calls in a window");
}

#[test]
fn account_far_above_its_quota_everywhere_gets_its_quota_and_no_more() {
    let mut network = fleet(4);
    let account = account("club");
    let limit = quota(677, 677);
    network.quotas.insert(account.clone(), limit);

    run(&mut network, 10_000, &account, traffic(3_170, 0..64));

    let allowed = 677 + 6_770;
    let taken = network.log.taken(&account);
    assert!(taken >= allowed * 9 / 10, "{taken} of {allowed} calls");
    let most = network.log.most_in_window(&account);
    assert!(most <= bound(limit), "{most} calls in a window");
}

#[test]
fn usual_traffic_is_not_refused_while_an_owner_is_down() {
    let mut network = fleet(5);
    let account = account("club");
    let limit = quota(677, 677);
    network.quotas.insert(account.clone(), limit);
    run(&mut network, 5_000, &account, traffic(423, 0..64));

    network.kill(16, 3_500);
    run(&mut network, 8_000, &account, traffic(423, 0..64));

    assert_eq!(network.log.refused_below(&account, limit), 0);
}

#[test]
fn quota_is_available_again_two_seconds_after_a_restart_of_all_nodes() {
    let mut network = fleet(7);
    let account = account("club");
    let limit = quota(677, 677);
    network.quotas.insert(account.clone(), limit);
    run(&mut network, 5_000, &account, traffic(423, 0..64));

    (0..64).for_each(|node| network.kill(node, 2_000));
    run(&mut network, 4_000, &account, traffic(423, 0..64));
    network.log.refused.clear();
    run(&mut network, 5_000, &account, traffic(423, 0..64));

    assert_eq!(network.log.refused_below(&account, limit), 0);
    let most = network.log.most_in_window(&account);
    assert!(most <= bound(limit), "{most} calls in a window");
}

#[test]
fn token_that_is_given_back_is_spent_again() {
    let mut shares = Shares::new(0);
    let account = account("club");
    shares.arrive(at(0), &account, 1, false);
    let asked = shares.requests(at(0), &account);
    shares.grant(at(1), &granted(&asked[0].ask, 1));
    let Decision::Taken(ticket) = shares.wait(at(1), &account, at(0)) else {
        panic!("the token was not taken");
    };

    shares.give_back(at(100), &account, ticket);

    let decision = shares.arrive(at(101), &account, 1, false);
    assert!(matches!(decision, Decision::Taken(_)), "{decision:?}");
}

#[test]
fn call_is_refused_at_once_while_no_owner_answers() {
    let mut shares = Shares::new(0);
    let account = account("club");
    assert_eq!(shares.arrive(at(0), &account, 1, false), Decision::Wait);
    shares.requests(at(0), &account);
    let first = shares.wait(at(300), &account, at(0));

    let second = shares.arrive(at(310), &account, 1, false);

    let refused = Decision::Refused {
        refusal: Refusal::Unknown,
        retry_in: None,
    };
    assert_eq!([first, second], [refused, refused]);
    assert_eq!(shares.counts().silent, 1);
}

#[test]
fn callers_over_the_quota_are_asked_to_come_back_one_after_the_other() {
    let mut shares = Shares::new(0);
    let account = account("club");
    shares.arrive(at(0), &account, 1, false);
    let asked = shares.requests(at(0), &account);
    shares.grant(at(1), &granted(&asked[0].ask, 0));

    let waits: Vec<_> = (2..5)
        .map(|time| match shares.arrive(at(time), &account, 1, false) {
            Decision::Refused { retry_in, .. } => retry_in.unwrap(),
            decision => panic!("{decision:?}"),
        })
        .collect();

    assert!(waits.windows(2).all(|pair| pair[0] <= pair[1]), "{waits:?}");
}

#[test]
fn late_calls_leave_the_tokens_of_a_short_account_to_calls_in_time() {
    let mut shares = Shares::new(0);
    let account = account("club");
    for time in 0..20 {
        let decision = shares.arrive(at(time), &account, 1, false);
        assert_eq!(decision, Decision::Wait);
    }
    let asked = shares.requests(at(20), &account);
    shares.grant(at(21), &granted(&asked[0].ask, 0));
    for time in 0..20 {
        let decision = shares.wait(at(21), &account, at(time));
        assert!(matches!(decision, Decision::Refused { .. }), "{decision:?}");
    }
    let asked = shares.requests(at(200), &account);
    shares.grant(at(201), &granted(&asked[0].ask, 1));

    let late = shares.arrive(at(202), &account, 1, true);
    let in_time = shares.arrive(at(203), &account, 1, false);

    assert!(matches!(late, Decision::Refused { .. }), "{late:?}");
    assert!(matches!(in_time, Decision::Taken(_)), "{in_time:?}");
}

#[test]
fn lower_quota_binds_within_the_lifetime_of_grants() {
    let mut network = fleet(6);
    let account = account("club");
    network.quotas.insert(account.clone(), quota(677, 677));
    run(&mut network, 5_000, &account, traffic(423, 0..64));

    let lower = quota(50, 50);
    network.quotas.insert(account.clone(), lower);
    run(&mut network, 3_000, &account, traffic(423, 0..64));
    network.log.taken.clear();
    run(&mut network, 10_000, &account, traffic(423, 0..64));

    let most = network.log.most_in_window(&account);
    assert!(most <= bound(lower), "{most} calls in a window");
}

/// What happens to the network in a generated case.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize, u64),
    Cut(Vec<usize>),
    Heal,
    Lose(u32),
    Move(usize),
    Rate(u64),
}

fn fault(g: &mut Gen) -> Fault {
    let node = || 0..24_usize;
    let pick = |g: &mut Gen| *g.choose(&node().collect::<Vec<_>>()).unwrap();
    match g.choose(&[0, 1, 2, 3, 4, 5]).unwrap() {
        0 => Fault::Kill(pick(g), *g.choose(&[0, 300, 1_500, 3_000]).unwrap()),
        1 => Fault::Cut((0..8).map(|_| pick(g)).collect()),
        2 => Fault::Heal,
        3 => Fault::Lose(*g.choose(&[0, 25, 200, 500]).unwrap()),
        4 => Fault::Move(pick(g)),
        _ => Fault::Rate(*g.choose(&[0, 40, 400, 3_000]).unwrap()),
    }
}

impl quickcheck::Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        fault(g)
    }
}

#[test]
fn quota_is_never_exceeded_whatever_fails() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "the signature is quickcheck's"
    )]
    fn holds(faults: Vec<Fault>, seed: u64) -> bool {
        for limit in [quota(300, 300), quota(8, 8), quota(100, 0)] {
            let mut network = Network::new(4, 6, seed);
            let account = account("club");
            network.quotas.insert(account.clone(), limit);
            let (mut nodes, mut rate) = (0..24, 400);
            for fault in faults.iter().cloned() {
                match fault {
                    Fault::Kill(node, for_ms) => network.kill(node, for_ms),
                    Fault::Cut(cut) => network.cut = cut.into_iter().collect(),
                    Fault::Heal => network.cut.clear(),
                    Fault::Lose(permille) => network.loss_permille = permille,
                    Fault::Move(node) => nodes = node..24,
                    Fault::Rate(per_second) => rate = per_second,
                }
                let ms = 200 + network.random(1_500);
                run(&mut network, ms, &account, traffic(rate, nodes.clone()));
            }
            if network.log.most_in_window(&account) > bound(limit) {
                return false;
            }
        }
        true
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<Fault>, u64) -> bool);
}
