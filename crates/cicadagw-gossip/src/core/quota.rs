//! Quotas: requests for tokens to the owners of their parts, and the parts that this node owns.

use cicadagw_call::quota::{Answer, Ask, Asker, GRANT_LIFETIME, Grant, Ledger, Request, Terms};
use cicadagw_config::account;
use cicadagw_unit::id;
use cicadagw_unit::time::{Span, Timestamp};

use super::Core;
use crate::owners::{Owners, PARTS_MIN};
use crate::{Effect, Member, Message};

/// How long after its start a node owns no part: the time to learn of the other nodes and to be known
/// to them.
const START_DELAY: Span = Span::new(500);

/// How long after its start a node waits for the acknowledgements of the other nodes of its failure
/// domain at most; one that is down does not acknowledge.
const ACKNOWLEDGEMENT_TIMEOUT: Span = Span::new(1_500);

/// How long after its start a node may know only a part of the fleet. It does not take its share of a
/// quota for more than one of [`PARTS_MIN`] until then.
const DISCOVERY: Span = Span::seconds(10);

/// Interval between two checks which parts may be forgotten.
const PRUNE_INTERVAL: Span = Span::seconds(5);

/// The parts of quotas that this node owns.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    ledger: Ledger,
    /// The nodes of this failure domain that have left recently, and when: nodes may still hold
    /// tokens that they granted.
    left: Vec<(Timestamp, Member)>,
    prune_due: Timestamp,
    /// Since when this node may own parts; `None` soon after its start.
    ready_at: Option<Timestamp>,
}

impl Core {
    /// Returns the number of accounts of whose quotas this node owns a part that is in use.
    pub fn quotas_owned(&self) -> usize {
        self.quotas.ledger.len()
    }

    /// Returns the number of parts that each quota is divided into; zero without quotas.
    pub(super) fn quota_parts(&self) -> u16 {
        if !self.has_quotas() {
            return 0;
        }
        let parts = Owners::of(&self.table).parts();
        u16::try_from(parts).unwrap_or(u16::MAX)
    }

    /// Sends a request of the calls duty to the owner of the part.
    pub(super) fn request_tokens(&mut self, now: Timestamp, request: Request) {
        let Request { ask, part } = request;
        let owners = Owners::of(&self.table);
        let parts = u16::try_from(owners.parts()).unwrap_or(u16::MAX);
        let owner = owners
            .in_order(&ask.account, &self.own)
            .get(usize::from(part))
            .map(|owner| (owner.node == self.own.node, owner.gossip));
        let asker = Asker {
            node: self.own.node.clone(),
            start_ms: self.own.stamp.0,
        };
        match owner {
            Some((false, gossip)) => {
                let message = Message::Ask {
                    ask,
                    from: asker.node,
                    parts,
                    start_ms: asker.start_ms,
                };
                self.effects.push(Effect::Send(gossip, message));
            }
            Some((true, _)) => {
                let grant = self.grant_tokens(now, &asker, 0, &ask);
                self.effects.extend(grant.map(Effect::Grant));
            }
            None => self.effects.push(Effect::Grant(elsewhere(&ask))),
        }
    }

    /// Answers a request for tokens of a part that this node owns; `parts` is the number of parts
    /// that the asker knows of. Returns `None` if a later request has been answered.
    pub(super) fn grant_tokens(
        &mut self,
        now: Timestamp,
        asker: &Asker,
        parts: u16,
        ask: &Ask,
    ) -> Option<Grant> {
        match self.terms(now, &ask.account) {
            Some(terms) => {
                let terms = Terms {
                    parts: terms.parts.max(parts),
                    ..terms
                };
                self.quotas.ledger.ask(now, terms, asker, ask)
            }
            None => Some(elsewhere(ask)),
        }
    }

    /// Forgets the parts that this node does not own any more, after `member` has joined or left.
    pub(super) fn change_owners(&mut self, now: Timestamp, member: &Member) {
        if member.domain != self.own.domain {
            return;
        }
        if member.is_leaving {
            self.quotas.left.push((now, member.clone()));
        }
        let owners = Owners::of(&self.table);
        let own = &self.own;
        let ledger = &mut self.quotas.ledger;
        ledger.retain(|account| owners.owns(account, own));
    }

    /// Checks whether this node may own parts, and forgets those that are not in use.
    pub(super) fn update_quotas(&mut self, now: Timestamp) {
        if self.quotas.ready_at.is_none() && self.may_own(now) {
            self.quotas.ready_at = Some(now);
        }
        self.quotas
            .left
            .retain(|(left_at, _)| now.since(*left_at) <= GRANT_LIFETIME);
        if now < self.quotas.prune_due {
            return;
        }
        self.quotas.prune_due = now.after(PRUNE_INTERVAL);
        let mut ledger = std::mem::take(&mut self.quotas.ledger);
        ledger.prune(now, |account| self.terms(now, account));
        self.quotas.ledger = ledger;
    }

    /// Returns whether the other nodes of the failure domain know that this process runs, so that no
    /// other node owns its parts.
    fn may_own(&self, now: Timestamp) -> bool {
        let uptime = now.since(Timestamp::default());
        let is_alone = self.table.iter().all(|member| member.node == self.own.node);
        if uptime < START_DELAY || (is_alone && !self.registration.has_listed()) {
            return false;
        }
        let lacks_acknowledgement = |member: &Member| {
            member.domain == self.own.domain && self.outbound.is_pending(&member.node)
        };
        uptime >= ACKNOWLEDGEMENT_TIMEOUT || !self.table.iter().any(lacks_acknowledgement)
    }

    /// Returns the terms under which this node owns a part of the quota of `account`, if it does.
    fn terms(&self, now: Timestamp, account: &id::Account) -> Option<Terms> {
        let ready_at = self.quotas.ready_at?;
        let snapshot = self.snapshot.as_ref()?;
        let quota = snapshot.config.accounts.get(account)?.quota?;
        let owners = Owners::of(&self.table);
        if self.own.is_leaving || !owners.owns(account, &self.own) {
            return None;
        }
        let least = if now.since(Timestamp::default()) < DISCOVERY {
            PARTS_MIN
        } else {
            1
        };
        let replaced = self.quotas.left.iter().filter(|(_, member)| {
            let mut before = Owners::of(&self.table);
            before.add(member);
            !before.owns(account, &self.own)
        });
        let replaced_at = replaced.map(|(left_at, _)| *left_at).max();
        Some(Terms {
            parts: u16::try_from(owners.parts().max(least)).unwrap_or(u16::MAX),
            quota,
            since: replaced_at.map_or(ready_at, |replaced_at| replaced_at.max(ready_at)),
        })
    }

    /// Returns whether the configuration contains quotas.
    pub(super) fn has_quotas(&self) -> bool {
        let has_quota = |account: &account::Account| account.quota.is_some();
        let snapshot = self.snapshot.as_ref();
        snapshot.is_some_and(|snapshot| snapshot.config.accounts.values().any(has_quota))
    }
}

/// Returns the answer of a node that does not own the part.
fn elsewhere(ask: &Ask) -> Grant {
    Grant {
        account: ask.account.clone(),
        answer: Answer::Elsewhere,
        number: ask.number,
    }
}
