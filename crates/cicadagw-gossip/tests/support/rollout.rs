//! The platform's part in rollouts: orders, their status, and the requests about them.

use cicadagw_endpoint::{LocalUpdate, State};
use cicadagw_gossip::{Call, Event, Orders, Reply};
use cicadagw_platform::{Error, Revision};
use cicadagw_rollout::{Entry, Order, State as RolloutState, Status};
use cicadagw_unit::Term;
use cicadagw_unit::time::Span;

use super::{Behaviour, Fleet, Load, Node, local, record};

/// The duration of the ordered rollouts.
pub const DURATION: Span = Span::seconds(12);

/// How much longer a rollout may take whose leader fails: the lease, the turn of the next one and
/// what it has to observe again.
pub const TAKEOVER_MAX: Span = Span::seconds(8);

/// Returns a fleet whose second half has backend servers of release `v2`, and its load.
pub fn ordered(behaviour: Behaviour) -> (Fleet, Load) {
    let mut fleet = Fleet::with_rollouts(16);
    let mut load = Load::new(&fleet, 400);
    load.behaviour.insert("v2".to_owned(), behaviour);
    fleet.order("v2", DURATION);
    load.run(&mut fleet, Span::new(500), |_| false);
    for index in 8..16 {
        fleet.start_backend(index, "v2");
    }
    (fleet, load)
}

pub fn has_ended(fleet: &Fleet) -> bool {
    let status = fleet.rollout_status();
    status.is_some_and(|status| status.state() != RolloutState::Running)
}

pub fn state(fleet: &Fleet) -> Option<RolloutState> {
    fleet.rollout_status().map(Status::state)
}

impl Fleet {
    /// Creates a fleet whose operators order rollouts. The first half of the nodes has backend servers
    /// of release `v1`, and the second half has none yet.
    pub fn with_rollouts(count: usize) -> Self {
        let mut fleet = Self {
            has_rollouts: true,
            ..Self::new(0)
        };
        for index in 0..count {
            let core = record::new_core_with_rollouts(index, 1);
            fleet.nodes.push(Node::new(core));
        }
        fleet.publish_configuration(1);
        fleet.run(Span::seconds(3));
        for index in 0..count / 2 {
            fleet.start_backend(index, "v1");
        }
        fleet.run(Span::seconds(1));
        fleet
    }

    /// Starts a backend server on the host of a node.
    pub fn start_backend(&mut self, index: usize, release: &str) {
        let update = LocalUpdate {
            release: Some(release.parse().unwrap()),
            ..local(&format!("i-{index}"), State::Ready)
        };
        self.step(index, Event::Local(update));
    }

    /// Orders a rollout of the service `orders`, as an operator does.
    pub fn order(&mut self, target: &str, duration: Span) {
        let order = Order {
            duration,
            service: "orders".parse().unwrap(),
            target: target.parse().unwrap(),
        };
        self.write_order(Some(order));
    }

    /// Withdraws the order.
    pub fn withdraw(&mut self) {
        self.write_order(None);
    }

    fn write_order(&mut self, order: Option<Order>) {
        self.platform.revision += 1;
        let earlier = self.platform.orders.get("orders");
        let status = earlier.and_then(|entry| entry.status.clone());
        let entry = Entry {
            status: status.filter(|_| order.is_some()),
            order,
            service: "orders".parse().unwrap(),
            term: Term::from(self.platform.at()),
        };
        self.platform.orders.insert("orders".to_owned(), entry);
    }

    /// Returns the status of the order at the platform.
    pub fn rollout_status(&self) -> Option<&Status> {
        self.platform.orders.get("orders")?.status.as_ref()
    }

    /// Returns the node that leads the rollout according to the platform.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.rollout_status()?.leader.as_ref()?;
        let name = leader.as_str().strip_prefix("node-").unwrap();
        Some(name.parse().unwrap())
    }

    /// Responds to a request about rollouts, except for a watch, which waits for a change.
    pub(super) fn rollout_call(&mut self, index: usize, call: Call) {
        let is_unavailable = self.platform.unavailable_to.contains(&index);
        let unavailable = || Error::Unavailable("unavailable".to_owned());
        let reply = match call {
            Call::ListRollouts if is_unavailable => Reply::Rollouts(Err(unavailable())),
            Call::ListRollouts => {
                let all = self.platform.orders.values();
                let entries = all.filter(|entry| entry.order.is_some()).cloned();
                Reply::Rollouts(Ok(Orders {
                    at: self.platform.at(),
                    entries: entries.collect(),
                    is_complete: true,
                    unreadable: Vec::new(),
                }))
            }
            Call::WatchRollouts { after, wait } => {
                let until = self.now.after(wait);
                self.nodes[index].pending_rollout_watch = Some((after, until));
                return;
            }
            Call::WriteRollout { service, .. } if is_unavailable => {
                Reply::RolloutWritten(service, Err(unavailable()))
            }
            Call::WriteRollout {
                service,
                status,
                term,
            } => {
                self.platform.revision += 1;
                let revision = Term::from(self.platform.at());
                let entry = self.platform.orders.get_mut(service.as_str());
                // The platform compares only the numbers of the revisions.
                let is_expected =
                    |held: Term| Revision::from(held).number() == Revision::from(term).number();
                let is_restored = Revision::from(term).era() != self.platform.era;
                let entry = entry.filter(|entry| entry.order.is_some() && is_expected(entry.term));
                let entry = entry.filter(|_| !self.platform.refuses_status);
                let written = entry.map(|entry| {
                    entry.status = Some(*status);
                    entry.term = revision;
                });
                self.platform.rollout_writes += 1;
                Reply::RolloutWritten(
                    service,
                    match written {
                        _ if is_restored => Err(Error::Restored),
                        None => Err(Error::Conflict),
                        Some(()) if self.platform.loses_responses => {
                            Err(Error::Unknown("lost".to_owned()))
                        }
                        Some(()) => Ok(revision),
                    },
                )
            }
            _ => unreachable!("the request is not about rollouts"),
        };
        self.step(index, Event::Reply(reply));
    }

    /// Responds to a pending watch if an order or a status has changed, the platform fails, or the
    /// wait is over.
    pub(super) fn respond_to_rollout_watch(&mut self, index: usize) {
        let Some((after, until)) = self.nodes[index].pending_rollout_watch else {
            return;
        };
        if self.platform.holds_rollout_watches {
            return;
        }
        let is_restored = after.era() != self.platform.era;
        let changed = self.platform.orders.values();
        let entries: Vec<Entry> = changed
            .filter(|entry| Revision::from(entry.term).number() > after.number())
            .cloned()
            .collect();
        let reply = if self.platform.unavailable_to.contains(&index) {
            Err(Error::Unavailable("unavailable".to_owned()))
        } else if self.platform.has_compacted || after.number() > self.platform.revision {
            Err(Error::Compacted)
        } else if is_restored && (!entries.is_empty() || self.now >= until) {
            Err(Error::Restored)
        } else if !entries.is_empty() || self.now >= until {
            Ok(Orders {
                at: self.platform.at(),
                entries,
                is_complete: false,
                unreadable: Vec::new(),
            })
        } else {
            return;
        };
        self.nodes[index].pending_rollout_watch = None;
        self.step(index, Event::Reply(Reply::Rollouts(reply)));
    }
}
