//! What a node holds of one part of a quota, and what it has asked the part's owner for.

use cicadagw_unit::time::{Span, Timestamp};

use super::allowance::GRANT_LIFETIME;

/// How long a call waits for an answer of one owner before another is asked as well: longer than a
/// round trip between regions.
const PATIENCE: Span = Span::new(100);

/// The time after which a request counts as lost, and the owner as silent.
const ANSWER_TIMEOUT: Span = Span::new(300);

/// The time after which an owner that did not answer, and was not asked again, may answer.
const SILENCE_VALID: Span = Span::seconds(1);

/// What is to be expected of an owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Status {
    /// It has said that it has no tokens, and is not to be asked yet.
    Dry,
    /// It has not answered in time; another owner is asked as well.
    Late,
    /// It is about to answer.
    Pending,
    /// It may be asked.
    Ready,
    /// It does not answer.
    Silent,
}

/// What a node holds of one part of a quota.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holding {
    asked: Option<Asked>,
    /// Until when the owner is not asked, as it has no tokens.
    dry_until: Timestamp,
    /// When the tokens expire.
    expires: Timestamp,
    is_silent: bool,
    /// Until when the owner is not asked for tokens ahead of calls.
    paced_until: Timestamp,
    /// When a silent owner is asked again.
    probe_due: Timestamp,
    tokens: u32,
}

/// A request that has not been answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub(super) ahead: u32,
    pub(super) at: Timestamp,
    /// The tokens that the request said were held.
    pub(super) held: u32,
    pub(super) number: u64,
    pub(super) waiting: u32,
}

/// A grant of the owner: the tokens, and how it is to be asked further.
#[derive(Clone, Copy, Debug)]
pub(super) struct Supply {
    pub(super) is_dry: bool,
    pub(super) pace: Span,
    pub(super) tokens: u32,
}

impl Holding {
    /// Returns the number of tokens that may be spent.
    pub(super) fn tokens(&self, now: Timestamp) -> u32 {
        if now < self.expires { self.tokens } else { 0 }
    }

    /// Takes a token, if there is one.
    pub(super) fn take(&mut self, now: Timestamp) -> bool {
        self.tokens = self.tokens(now);
        let has_token = self.tokens > 0;
        self.tokens -= u32::from(has_token);
        has_token
    }

    /// Puts a token back; returns whether it can be spent, as those granted with it have not expired.
    pub(super) fn give_back(&mut self, now: Timestamp) -> bool {
        let is_valid = now < self.expires;
        self.tokens += u32::from(is_valid);
        is_valid
    }

    /// Returns what is to be expected of the owner, and gives up a request that has not been answered
    /// in time.
    pub(super) fn status(&mut self, now: Timestamp) -> Status {
        if self.asked.is_some_and(|asked| has_timed_out(now, asked)) {
            self.asked = None;
            self.is_silent = true;
            self.probe_due = now;
        }
        if self.asked.is_none() && now.since(self.probe_due) >= SILENCE_VALID {
            self.is_silent = false;
        }
        self.peek(now)
    }

    /// Returns what is to be expected of the owner.
    pub(super) fn peek(&self, now: Timestamp) -> Status {
        match self.asked {
            _ if self.is_silent => Status::Silent,
            Some(asked) if has_timed_out(now, asked) => Status::Silent,
            Some(asked) if now.since(asked.at) >= PATIENCE => Status::Late,
            Some(_) => Status::Pending,
            None if now < self.dry_until => Status::Dry,
            None => Status::Ready,
        }
    }

    /// Returns whether a silent owner is to be asked again, to learn whether it is back.
    pub(super) fn is_probe_due(&self, now: Timestamp) -> bool {
        self.is_silent && self.asked.is_none() && now >= self.probe_due
    }

    /// Returns whether the owner may be asked for tokens ahead of calls.
    pub(super) fn is_ahead_due(&self, now: Timestamp) -> bool {
        now >= self.paced_until
    }

    /// Returns the request that has not been answered.
    pub(super) const fn asked(&self) -> Option<Asked> {
        self.asked
    }

    /// Returns when [`Self::status`] changes next if no answer arrives, if it does.
    pub(super) fn next_change(&self, now: Timestamp) -> Option<Timestamp> {
        let asked = self.asked.filter(|_| !self.is_silent)?;
        let late = asked.at.after(PATIENCE);
        Some(if now < late {
            late
        } else {
            asked.at.after(ANSWER_TIMEOUT)
        })
    }

    /// Records a request to the owner.
    pub(super) const fn ask(&mut self, asked: Asked) {
        self.asked = Some(asked);
    }

    /// Records the answer of a node that does not own the part.
    pub(super) fn refer(&mut self, now: Timestamp) {
        self.asked = None;
        self.is_silent = true;
        self.probe_due = now.after(ANSWER_TIMEOUT);
    }

    /// Records a grant in response to `asked`; `waiting` calls wait for tokens now.
    pub(super) fn supply(&mut self, now: Timestamp, asked: Asked, supply: Supply, waiting: u32) {
        let Supply {
            is_dry,
            pace,
            tokens,
        } = supply;
        self.asked = None;
        self.is_silent = false;
        let held = self.tokens(now);
        // The owner counts tokens for waiting calls as spent, so those that no call waits for any
        // more are dropped.
        let ahead = tokens.saturating_sub(asked.waiting);
        let kept = asked.held.saturating_add(ahead).saturating_add(waiting);
        self.tokens = held.saturating_add(tokens).min(kept);
        // Counted from the request, so they expire here before they do at the owner.
        self.expires = asked.at.after(GRANT_LIFETIME);
        if is_dry {
            self.dry_until = now.after(pace);
        }
        if tokens < asked.waiting + asked.ahead {
            self.paced_until = now.after(pace);
        }
    }
}

/// Returns whether a request counts as lost.
fn has_timed_out(now: Timestamp, asked: Asked) -> bool {
    now.since(asked.at) >= ANSWER_TIMEOUT
}
