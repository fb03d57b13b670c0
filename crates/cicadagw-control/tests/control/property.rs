//! Properties that hold for any order, loss and repetition of messages.

use cicadagw_config::{Delta, Snapshot, check};
use cicadagw_control::platform::{Purpose, Request, Response};
use cicadagw_control::{Claim, Effect, Scope};
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

/// Returns a runner of this many generated cases, the same in every run.
fn quickcheck_config(tests: u64) -> QuickCheck {
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(30, 0x00c1_cada))
}

/// Creates a node that has joined a parent.
fn joined_node() -> Session {
    let mut session = Session::new(&seeded(2, &[1]), Store::default());
    session.store.unavailable = true;
    session.run_until_dial();
    session.accept_dial(&[1]);
    session
}

/// Returns a valid or invalid message that offers a version, generated from three numbers.
fn generated_offer((kind, from, to): (u8, u8, u8)) -> Down {
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

/// Returns a record of one of four endpoints, each on a different node.
fn generated_record((endpoint, sequence, state): (u8, u8, u8)) -> Record {
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
fn the_version_held_never_decreases_and_is_always_valid() {
    fn property(offers: Vec<(u8, u8, u8)>) -> bool {
        let mut session = joined_node();
        let mut highest = session.held().version;
        for numbers in offers {
            session.deliver_down(generated_offer(numbers));
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

    quickcheck_config(100).quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn parent_and_child_converge_on_the_same_endpoints() {
    fn property(to_parent: Vec<(u8, u8, u8)>, to_child: Vec<(u8, u8, u8)>) -> bool {
        let mut pair = Pair::new(1);
        pair.parent
            .deliver_join_request(1, crate::fixture::hello(9, 1));
        for numbers in to_parent {
            pair.parent
                .deliver_up(1, Up::Endpoints(vec![generated_record(numbers)]));
        }
        pair.child
            .deliver_join_request(1, crate::fixture::hello(8, 0));
        for numbers in to_child {
            pair.child
                .deliver_up(1, Up::Endpoints(vec![generated_record(numbers)]));
        }

        pair.run(Span::seconds(2));

        pair.parent.dump().endpoints == pair.child.dump().endpoints
    }

    type Updates = Vec<(u8, u8, u8)>;
    quickcheck_config(60).quickcheck(property as fn(Updates, Updates) -> bool);
}

#[test]
fn no_stale_record_revives_a_gone_endpoint() {
    fn property(updates: Vec<(u8, u8, u8)>) -> bool {
        let mut session = joined_node();
        let mut gone: Vec<Record> = Vec::new();
        updates.into_iter().map(generated_record).all(|record| {
            session.deliver_down(Down::Endpoints(vec![record.clone()]));
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

    quickcheck_config(60).quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Returns the response to a request about the lease of the failure domain.
fn lease_response(request: &Request, choice: u8) -> Result<Response, Error> {
    let object = |holder, term| {
        let claim = Claim {
            domain: DOMAIN.parse().unwrap(),
            holder: member(holder),
            term,
        };
        Ok(Response::Object(Some(Object {
            key: Key::domain_lease(&claim.domain),
            revision: Revision::new(u64::from(choice)),
            value: serde_json::to_vec(&claim).unwrap().into(),
        })))
    };
    match (request, choice % 5) {
        (Request::Put { .. }, 0 | 1) => Ok(Response::Written(Revision::new(u64::from(choice)))),
        (Request::Put { .. }, 2) => Err(Error::Conflict),
        (Request::Put { .. }, 3) => Err(Error::Unknown("connection reset".to_owned())),
        (_, 0) => Ok(Response::Object(None)),
        (_, 1 | 2) => object(5, 99),
        (_, 3) => object(1, 7),
        _ => Err(Error::Unavailable("unavailable".to_owned())),
    }
}

#[test]
fn a_node_that_read_another_holder_does_not_act_as_root() {
    fn property(choices: Vec<u8>) -> bool {
        let mut session = Session::new(&settings(1), Store::holding(1));
        let mut knows_other = false;
        choices.into_iter().all(|choice| {
            let lease = Purpose::Lease(Scope::Domain);
            session.run_answering(Span::seconds(2), |call| {
                call.purpose != Purpose::Lease(Scope::Domain)
            });
            if let Some(request) = session.pending(lease) {
                let outcome = lease_response(&request, choice);
                knows_other = match (&request, &outcome) {
                    (_, Ok(Response::Object(Some(_)))) => choice % 5 != 3,
                    (_, Ok(Response::Written(_))) => false,
                    _ => knows_other,
                };
                session.reply_to(lease, outcome);
            }
            let state = session.dump().leases[&Scope::Domain].clone();
            let acts_as_root = ["held", "renewing", "doubting"].contains(&state.as_str());
            !(knows_other && acts_as_root)
        })
    }

    quickcheck_config(60).quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn a_child_always_converges_on_the_newest_version() {
    fn property(steps: Vec<u8>) -> bool {
        let mut pair = Pair::new(1);
        let mut version = 1;
        for step in steps {
            match step % 4 {
                0 | 1 => {
                    version += 1;
                    pair.parent.store.accept(version);
                    pair.parent.answer();
                }
                2 => pair.close_link(),
                _ => pair.run(Span::new(300)),
            }
        }

        pair.run(Span::seconds(8));

        pair.child.held() == snapshot(version).stamp
    }

    quickcheck_config(40).quickcheck(property as fn(Vec<u8>) -> bool);
}
