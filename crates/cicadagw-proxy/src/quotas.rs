//! Tokens for calls of client accounts that have quotas.

use std::cell::RefCell;

use cicadagw_call::Reason;
use cicadagw_call::quota::{Counts, Decision, Grant, Request, Shares, State, Ticket};
use cicadagw_ring::{Receiver, Sender};
use cicadagw_unit::id;
use cicadagw_unit::time::Span;
use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::clock::Clock;
use crate::node::Node;

/// The requests of a process are numbered from a random number on, so that a late answer to the process
/// before a restart matches none of them. The shift leaves room for the numbers that follow.
const NUMBER_SHIFT: u32 = 16;

/// The rings to the duty that exchanges tokens with other nodes.
pub struct Quota {
    /// The answers of the owners.
    pub grants: Receiver<Grant>,
    /// The requests to the owners of quotas.
    pub requests: Sender<Request>,
}

/// A token that a call has taken.
#[derive(Debug)]
pub(crate) struct Token {
    account: id::Account,
    ticket: Ticket,
}

/// Why a call gets no token, and when its caller may come back, if that is known.
pub(crate) struct Refused {
    pub(crate) reason: Reason,
    pub(crate) retry_in: Option<Span>,
}

/// The node's shares of quotas, and the calls that wait for tokens.
pub(crate) struct Quotas {
    clock: Clock,
    /// Wakes the waiting calls when an answer has arrived.
    answered: Notify,
    requests: Option<Sender<Request>>,
    shares: RefCell<Shares>,
}

impl Quotas {
    pub(crate) fn new(clock: Clock, requests: Option<Sender<Request>>) -> Self {
        Self {
            clock,
            answered: Notify::new(),
            requests,
            shares: RefCell::new(Shares::new(rand::random::<u64>() >> NUMBER_SHIFT)),
        }
    }

    /// Takes a token for a call of `account`, whose quota is divided into `parts` parts; `is_late` tells
    /// whether the call has missed its latency target.
    pub(crate) async fn take(
        &self,
        account: &id::Account,
        parts: u16,
        is_late: bool,
    ) -> Result<Token, Refused> {
        let arrived = self.clock.now();
        let mut decision = self
            .shares
            .borrow_mut()
            .arrive(arrived, account, parts, is_late);
        let mut waiting = Waiting {
            account,
            is_counted: decision == Decision::Wait,
            quotas: self,
        };
        loop {
            let now = self.clock.now();
            self.request(account);
            match decision {
                Decision::Taken(ticket) => {
                    return Ok(Token {
                        account: account.clone(),
                        ticket,
                    });
                }
                Decision::Refused { refusal, retry_in } => {
                    return Err(Refused {
                        reason: refusal.reason(),
                        retry_in,
                    });
                }
                Decision::Wait => {
                    let until = self.shares.borrow().next_change(now, account);
                    let until = self.clock.instant(until);
                    // An answer that arrives in time wakes the call, otherwise the time does.
                    timeout_at(until, self.answered.notified()).await.ok();
                }
            }
            let now = self.clock.now();
            decision = self.shares.borrow_mut().wait(now, account, arrived);
            waiting.is_counted = decision == Decision::Wait;
        }
    }

    /// Puts back the token of a call that has not run.
    pub(crate) fn give_back(&self, token: &Token) {
        let now = self.clock.now();
        let mut shares = self.shares.borrow_mut();
        shares.give_back(now, &token.account, token.ticket);
    }

    /// Records an answer of an owner, and wakes the waiting calls.
    pub(crate) fn grant(&self, grant: &Grant) {
        let now = self.clock.now();
        self.shares.borrow_mut().grant(now, grant);
        self.answered.notify_waiters();
    }

    /// Forgets unused shares, and logs the accounts that have changed their state.
    pub(crate) fn maintain(&self) -> Counts {
        let now = self.clock.now();
        let mut shares = self.shares.borrow_mut();
        for (account, state) in shares.changes(now) {
            match state {
                State::Open => {
                    log::info!(account:%; "the quota of a client account has tokens again");
                }
                State::Short => {
                    log::warn!(account:%, next = "its calls beyond the quota are refused"; "a client account has used its quota up");
                }
                State::Silent => {
                    log::warn!(account:%, next = "its calls are refused until an owner answers"; "no owner of the quota of a client account answers");
                }
            }
        }
        shares.prune(now);
        shares.counts()
    }

    /// Sends the requests for tokens of `account` that are due. One that does not fit the ring is
    /// lost, as a datagram may be.
    fn request(&self, account: &id::Account) {
        let Some(sender) = &self.requests else {
            return;
        };
        let now = self.clock.now();
        for request in self.shares.borrow_mut().requests(now, account) {
            sender.try_send(request).ok();
        }
    }
}

/// A call that may wait for a token; the share is told when it is given up.
struct Waiting<'q> {
    account: &'q id::Account,
    is_counted: bool,
    quotas: &'q Quotas,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_counted {
            self.quotas.shares.borrow_mut().leave(self.account);
        }
    }
}

/// Passes the answers of the owners on to the waiting calls until the ring is closed.
pub(crate) async fn receive(node: &Node, grants: &Receiver<Grant>) {
    while let Some(grant) = grants.recv().await {
        node.quotas.grant(&grant);
    }
}
