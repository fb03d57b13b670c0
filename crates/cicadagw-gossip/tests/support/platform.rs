//! The simulated platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cicadagw_config::Snapshot;
use cicadagw_gossip::{Call, Event, Member, Reply};
use cicadagw_platform::{Era, Error, Freshness, Revision};
use cicadagw_rollout::Entry;
use cicadagw_unit::time::{Span, Timestamp};
use rand::RngExt;

use super::{Fleet, TICK};

/// Timeout of a request to the platform; the wait of a watch is added to it.
const CALL_TIMEOUT: Span = Span::seconds(2);

/// What a copy of the platform's store contains.
#[derive(Clone)]
pub struct Copy {
    config: Option<(Revision, Arc<Snapshot>)>,
    members: BTreeMap<String, Member>,
    orders: BTreeMap<String, Entry>,
    revision: u64,
}

/// A simulated platform.
#[derive(Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct Platform {
    pub members: BTreeMap<String, Member>,
    /// What lists that may be stale contain, if that is not the current state.
    pub stale_members: Option<BTreeMap<String, Member>>,
    pub config: Option<(Revision, Arc<Snapshot>)>,
    pub revision: u64,
    /// The number of restores.
    pub era: Era,
    /// Number of member records written.
    pub writes: usize,
    /// Nodes whose requests fail.
    pub unavailable_to: BTreeSet<usize>,
    /// Nodes whose requests get no response, so that they time out.
    pub silent_to: BTreeSet<usize>,
    /// The longest time until an answer arrives, in ticks. It is computed when the request arrives at
    /// the platform.
    pub delay_ticks: u64,
    /// Whether watches stay open without delivering any change.
    pub is_deaf: bool,
    /// Whether checks fail because the history that they need was compacted.
    pub checks_find_no_history: bool,
    /// Whether watches fail because the history that they need was compacted.
    pub has_compacted: bool,
    /// The orders of rollouts by service, withdrawn ones included.
    pub orders: BTreeMap<String, Entry>,
    /// Number of statuses of rollouts written.
    pub rollout_writes: usize,
    /// Whether the responses to writes of the status of rollouts are lost.
    pub loses_responses: bool,
    /// Whether writes of the status of rollouts are refused, whatever their condition.
    pub refuses_status: bool,
    /// Whether watches of rollouts get no response.
    pub holds_rollout_watches: bool,
}

impl Platform {
    /// Returns the revision of the last change.
    pub fn at(&self) -> Revision {
        Revision::new(self.revision).in_era(self.era)
    }

    /// Returns a copy of the store.
    pub fn copy(&self) -> Copy {
        Copy {
            config: self.config.clone(),
            members: self.members.clone(),
            orders: self.orders.clone(),
            revision: self.revision,
        }
    }

    /// Restores the store from `copy`: the next writes get revisions that other writes had before.
    pub fn restore(&mut self, copy: Copy) {
        self.era = Era::new(self.era.get() + 1);
        let era = self.era;
        let anew = |revision: Revision| revision.in_era(era);
        let config = copy.config;
        self.config = config.map(|(revision, snapshot)| (anew(revision), snapshot));
        self.members = copy.members;
        self.orders = copy.orders;
        for entry in self.orders.values_mut() {
            entry.term = anew(Revision::from(entry.term)).into();
        }
        self.revision = copy.revision;
    }
}

impl Fleet {
    /// Responds to a request of a node, except for a watch, which waits for a change.
    pub(super) fn call(&mut self, index: usize, call: Call) {
        if let Call::FetchConfiguration(address) = &call {
            let from = usize::from(address.port()) - 1;
            if self.silent_to_fetches.contains(&from) {
                return self.time_out(index, &call);
            }
            let held = self.nodes[from].view.snapshot.clone();
            let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&index);
            let held = held.filter(|_| !is_isolated);
            let fetched = held.ok_or_else(|| Error::Unavailable("isolated".to_owned()));
            return self.step(index, Event::Reply(Reply::Fetched(fetched)));
        }
        self.nodes[index].requests += 1;
        self.config_reads += usize::from(matches!(call, Call::ReadConfiguration { .. }));
        let is_unavailable = self.platform.unavailable_to.contains(&index);
        let unavailable = || Error::Unavailable("unavailable".to_owned());
        if self.platform.silent_to.contains(&index) {
            return self.time_out(index, &call);
        }
        let reply = match call {
            Call::Register { .. } if is_unavailable => Reply::Registered(Err(unavailable())),
            Call::ListMembers(_) if is_unavailable => Reply::Members(Err(unavailable())),
            Call::ReadConfiguration { at } if is_unavailable => Reply::Read(at, Err(unavailable())),
            Call::WatchConfiguration { .. } if is_unavailable => Reply::Watched(Err(unavailable())),
            Call::CheckConfiguration { .. } if is_unavailable => Reply::Checked(Err(unavailable())),
            Call::CheckConfiguration { .. } if self.platform.checks_find_no_history => {
                Reply::Checked(Err(Error::Compacted))
            }
            Call::CheckConfiguration { after, .. } if after.era() != self.platform.era => {
                Reply::Checked(Err(Error::Restored))
            }
            Call::CheckConfiguration { after, .. } => {
                Reply::Checked(Ok(match &self.platform.config {
                    Some((revision, snapshot)) if *revision > after => {
                        (*revision, Some(snapshot.clone()))
                    }
                    _ => (after, None),
                }))
            }
            Call::Register { member, create } => {
                let exists = self.platform.members.contains_key(member.node.as_str());
                Reply::Registered(if exists == create {
                    Err(Error::Conflict)
                } else {
                    let name = member.node.to_string();
                    self.platform.writes += 1;
                    self.platform.members.insert(name, *member);
                    Ok(self.platform.at())
                })
            }
            Call::ListMembers(freshness) => {
                let stale = self.platform.stale_members.as_ref();
                let stale = stale.filter(|_| freshness == Freshness::Stale);
                let members = stale.unwrap_or(&self.platform.members);
                Reply::Members(Ok(members.values().cloned().collect()))
            }
            Call::ReadConfiguration { at } => Reply::Read(
                at,
                match &self.platform.config {
                    Some((revision, snapshot)) => Ok((*revision, Some(snapshot.clone()))),
                    None => Err(Error::Compacted),
                },
            ),
            Call::WatchConfiguration { after, wait } => {
                let until = self.now.after(wait);
                self.nodes[index].pending_watches.push((after, until));
                return;
            }
            Call::ConfirmConfiguration(inquiry) if is_unavailable => {
                Reply::Confirmed(inquiry, Err(unavailable()))
            }
            Call::ConfirmConfiguration(inquiry)
                if inquiry
                    .after
                    .is_some_and(|after| after.era() != self.platform.era) =>
            {
                Reply::Confirmed(inquiry, Err(Error::Restored))
            }
            Call::ConfirmConfiguration(inquiry) => {
                self.confirmations += 1;
                let at = self.platform.at();
                let config = self.platform.config.as_ref();
                let newer = config.filter(|(revision, _)| Some(*revision) > inquiry.after);
                Reply::Confirmed(
                    inquiry,
                    Ok((at, newer.map(|(_, snapshot)| snapshot.clone()))),
                )
            }
            Call::ListRollouts | Call::WatchRollouts { .. } | Call::WriteRollout { .. } => {
                return self.rollout_call(index, call);
            }
            Call::FetchConfiguration(_) => unreachable!("a fetch returns above"),
        };
        self.answer(index, reply);
    }

    /// Delivers an answer of the platform, which may arrive later.
    fn answer(&mut self, index: usize, reply: Reply) {
        if self.platform.delay_ticks == 0 {
            return self.step(index, Event::Reply(reply));
        }
        let ticks = self.rng.random_range(0..=self.platform.delay_ticks);
        let at = self.now.after(TICK.times(ticks));
        self.nodes[index].delayed.push((at, reply));
    }

    /// Lets a request end with a timeout.
    fn time_out(&mut self, index: usize, call: &Call) {
        let error = || Error::Unavailable("timeout".to_owned());
        let (timeout, reply) = match call {
            Call::Register { .. } => (CALL_TIMEOUT, Reply::Registered(Err(error()))),
            Call::ListMembers(_) => (CALL_TIMEOUT, Reply::Members(Err(error()))),
            Call::ReadConfiguration { at } => (CALL_TIMEOUT, Reply::Read(*at, Err(error()))),
            Call::WatchConfiguration { wait, .. } => {
                (wait.plus(CALL_TIMEOUT), Reply::Watched(Err(error())))
            }
            Call::CheckConfiguration { timeout, .. } => (*timeout, Reply::Checked(Err(error()))),
            Call::ConfirmConfiguration(inquiry) => {
                (CALL_TIMEOUT, Reply::Confirmed(*inquiry, Err(error())))
            }
            Call::ListRollouts => (CALL_TIMEOUT, Reply::Rollouts(Err(error()))),
            Call::WatchRollouts { wait, .. } => {
                (wait.plus(CALL_TIMEOUT), Reply::Rollouts(Err(error())))
            }
            Call::WriteRollout { service, .. } => {
                let reply = Reply::RolloutWritten(service.clone(), Err(error()));
                (CALL_TIMEOUT, reply)
            }
            Call::FetchConfiguration(_) => (CALL_TIMEOUT, Reply::Fetched(Err(error()))),
        };
        let at = self.now.after(timeout);
        self.nodes[index].delayed.push((at, reply));
    }

    /// Delivers the responses that are due.
    pub(super) fn respond_late(&mut self, index: usize) {
        let delayed = std::mem::take(&mut self.nodes[index].delayed);
        let (due, later) = delayed.into_iter().partition(|(at, _)| *at <= self.now);
        self.nodes[index].delayed = later;
        let due: Vec<(Timestamp, Reply)> = due;
        for (_, reply) in due {
            self.step(index, Event::Reply(reply));
        }
    }

    /// Responds to the pending watches of a node; see [`Self::reply_to_watch`].
    pub(super) fn respond_to_watches(&mut self, index: usize) {
        for watch in std::mem::take(&mut self.nodes[index].pending_watches) {
            match self.reply_to_watch(index, watch) {
                Some(reply) => self.answer(index, reply),
                None => self.nodes[index].pending_watches.push(watch),
            }
        }
    }

    /// Returns the response to a pending watch if the configuration has changed, the platform fails, or the
    /// wait is over. A watch of a node to which the platform has fallen silent ends with a timeout.
    fn reply_to_watch(&self, index: usize, (after, until): (Revision, Timestamp)) -> Option<Reply> {
        let is_silent = self.platform.silent_to.contains(&index);
        let change = match &self.platform.config {
            // The platform knows only the number of the revision.
            Some((revision, snapshot))
                if revision.number() > after.number() && !self.platform.is_deaf =>
            {
                Some((*revision, Some(snapshot.clone())))
            }
            _ if self.now >= until => Some((after, None)),
            _ => None,
        };
        if is_silent && self.now < until.after(CALL_TIMEOUT) {
            None
        } else if is_silent || self.platform.unavailable_to.contains(&index) {
            let error = Error::Unavailable("unavailable".to_owned());
            Some(Reply::Watched(Err(error)))
        } else if self.platform.has_compacted || after.number() > self.platform.revision {
            Some(Reply::Watched(Err(Error::Compacted)))
        } else if after.era() != self.platform.era {
            change.map(|_| Reply::Watched(Err(Error::Restored)))
        } else {
            change.map(|change| Reply::Watched(Ok(change)))
        }
    }
}
