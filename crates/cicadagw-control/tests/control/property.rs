//! What holds whatever the order, loss and repetition.

use cicadagw_config::{Delta, Snapshot, check};
use cicadagw_control::platform::{Purpose, Request, Response};
use cicadagw_control::{Claim, Effect, Rank};
use cicadagw_endpoint::{Record, State};
use cicadagw_platform::{Error, Key, Object, Revision};
use cicadagw_unit::Version;
use cicadagw_unit::time::Span;
use cicadagw_wire::{Down, Up};
use quickcheck::{Gen, QuickCheck};

use crate::fixture::{DOMAIN, member, record, seeded, settings, snapshot};
use crate::pair::Pair;
use crate::session::Session;
use crate::store::Store;

fn quick(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(30, 0x00c1_cada))
}

/// A node that joined a parent.
fn follower() -> Session {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.away = true;
    session.dials();
    session.joined(&[1]);
    session
}

/// An offer, sound or not, made of three numbers.
fn offer((kind, from, to): (u8, u8, u8)) -> Down {
    let (from, to) = (u64::from(from % 6) + 1, u64::from(to % 6) + 1);
    match kind % 7 {
        0 => Down::Heartbeat(snapshot(to).stamp),
        1 | 2 => Down::Delta(Box::new(Delta::between(&snapshot(from), &snapshot(to)))),
        3 => {
            let mut delta = Delta::between(&snapshot(from), &snapshot(to));
            delta.routes.clear();
            Down::Delta(Box::new(delta))
        }
        4 => {
            let mut broken = snapshot(to);
            broken.config.clusters.clear();
            Down::Snapshot(Box::new(broken))
        }
        5 => {
            let mut config = snapshot(to).config;
            config.secrets.clear();
            let version = Version::new(to);
            Down::Snapshot(Box::new(Snapshot::new(
                version,
                snapshot(to).preset,
                config,
            )))
        }
        _ => Down::Snapshot(Box::new(snapshot(to))),
    }
}

/// A record of one of four endpoints, each of its own node.
fn news((endpoint, sequence, state): (u8, u8, u8)) -> Record {
    let endpoint = endpoint % 4;
    let state = match state % 3 {
        0 => State::Ready,
        1 => State::Draining,
        _ => State::Gone,
    };
    let sequence = u64::from(sequence % 4) + 1;
    record(
        u16::from(endpoint) + 3,
        &format!("e{endpoint}"),
        sequence,
        state,
    )
}

#[test]
fn the_version_held_never_falls_and_is_always_whole() {
    fn holds(offers: Vec<(u8, u8, u8)>) -> bool {
        let mut session = follower();
        let mut highest = session.held().version;
        for made in offers {
            session.down(offer(made));
            let held = session.held();
            if held.version < highest {
                return false;
            }
            highest = held.version;
        }
        session.effects.iter().all(|effect| match effect {
            Effect::Publish(view) => view.snapshot.as_ref().is_none_or(|snapshot| {
                snapshot.is_intact() && check(&snapshot.config, &snapshot.preset).is_empty()
            }),
            _ => true,
        })
    }

    quick(100).quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn two_that_exchange_what_they_know_end_up_with_the_same() {
    fn holds(above: Vec<(u8, u8, u8)>, below: Vec<(u8, u8, u8)>) -> bool {
        let mut pair = Pair::new(1);
        pair.parent.joining(1, crate::fixture::hello(9, 1));
        for learned in above {
            pair.parent.up(1, Up::Endpoints(vec![news(learned)]));
        }
        pair.child.joining(1, crate::fixture::hello(8, 0));
        for learned in below {
            pair.child.up(1, Up::Endpoints(vec![news(learned)]));
        }

        pair.run(Span::seconds(2));

        pair.parent.dump().endpoints == pair.child.dump().endpoints
    }

    type News = Vec<(u8, u8, u8)>;
    quick(60).quickcheck(holds as fn(News, News) -> bool);
}

#[test]
fn no_stale_record_revives_a_gone_endpoint() {
    fn holds(learned: Vec<(u8, u8, u8)>) -> bool {
        let mut session = follower();
        let mut gone: Vec<Record> = Vec::new();
        learned.into_iter().map(news).all(|record| {
            session.down(Down::Endpoints(vec![record.clone()]));
            if record.state == State::Gone {
                gone.push(record);
            }
            let endpoints = session.dump().endpoints;
            gone.iter().all(|gone| {
                let known = endpoints.get(&gone.endpoint);
                known.is_some_and(|known| {
                    known.state == State::Gone || known.sequence > gone.sequence
                })
            })
        })
    }

    quick(60).quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// The answer to a call about the lease of the failure domain.
fn answer(request: &Request, choice: u8) -> Result<Response, Error> {
    let object = |holder, term| {
        let claim = Claim {
            domain: DOMAIN.parse().unwrap(),
            holder: member(holder),
            term,
        };
        Ok(Response::Object(Some(Object {
            key: Key::domain_lease(&claim.domain),
            revision: Revision(u64::from(choice)),
            value: serde_json::to_vec(&claim).unwrap().into(),
        })))
    };
    match (request, choice % 5) {
        (Request::Put { .. }, 0 | 1) => Ok(Response::Written(Revision(u64::from(choice)))),
        (Request::Put { .. }, 2) => Err(Error::Conflict),
        (Request::Put { .. }, 3) => Err(Error::Unknown("cut".to_owned())),
        (_, 0) => Ok(Response::Object(None)),
        (_, 1 | 2) => object(5, 99),
        (_, 3) => object(1, 7),
        _ => Err(Error::Unavailable("away".to_owned())),
    }
}

#[test]
fn whoever_is_told_of_another_holder_does_not_act_as_one() {
    fn holds(choices: Vec<u8>) -> bool {
        let mut session = Session::new(&settings(1), Store::holding(1));
        let mut told_of_other = false;
        choices.into_iter().all(|choice| {
            let lease = Purpose::Lease(Rank::Domain);
            session.run_with(Span::seconds(2), |call| {
                call.purpose != Purpose::Lease(Rank::Domain)
            });
            if let Some(request) = session.pending(lease) {
                let outcome = answer(&request, choice);
                told_of_other = match (&request, &outcome) {
                    (_, Ok(Response::Object(Some(_)))) => choice % 5 != 3,
                    (_, Ok(Response::Written(_))) => false,
                    _ => told_of_other,
                };
                session.reply_to(lease, outcome);
            }
            let state = session.dump().leases[&Rank::Domain].clone();
            let acts = ["held", "renewing", "doubting"].contains(&state.as_str());
            !(told_of_other && acts)
        })
    }

    quick(60).quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_child_always_ends_at_the_newest_version() {
    fn holds(steps: Vec<u8>) -> bool {
        let mut pair = Pair::new(1);
        let mut version = 1;
        for step in steps {
            match step % 4 {
                0 | 1 => {
                    version += 1;
                    pair.parent.store.accept(version);
                    pair.parent.answer();
                }
                2 => pair.cut(),
                _ => pair.run(Span::new(300)),
            }
        }

        pair.run(Span::seconds(8));

        pair.child.held() == snapshot(version).stamp
    }

    quick(40).quickcheck(holds as fn(Vec<u8>) -> bool);
}
