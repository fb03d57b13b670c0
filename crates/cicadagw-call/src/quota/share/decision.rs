//! What happens to a call of an account with a quota.

use cicadagw_chart::names;
use cicadagw_unit::time::{Span, Timestamp};

use crate::Reason;

names! {
    /// Why a call does not get a token.
    pub enum Refusal {
        /// The account has used its quota up.
        Over = "over",
        /// No owner of the quota answers.
        Unknown = "unknown",
    }
}

impl Refusal {
    /// Returns the reason with which the call is refused.
    pub const fn reason(self) -> Reason {
        match self {
            Self::Over => Reason::OverQuota,
            Self::Unknown => Reason::QuotaUnknown,
        }
    }
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call gets no token. Its caller may come back after `retry_in`, if that is known.
    Refused {
        /// Why it gets none.
        refusal: Refusal,
        /// When the quota is likely to allow the call.
        retry_in: Option<Span>,
    },
    /// The call has taken a token.
    Taken(Ticket),
    /// The call waits for an answer of an owner; see [`Share::next_change`](super::Share::next_change).
    Wait,
}

/// A token that a call has taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The index of the part that the token belongs to.
    pub(super) part: usize,
    pub(super) taken: Timestamp,
}
