//! What nodes tell the owners of the parts of a quota, and what these answer.

use cicadagw_unit::id;
use cicadagw_unit::rate::Tokens;
use cicadagw_unit::time::Span;

/// A node asks the owner of a part of a quota for tokens.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Ask {
    /// The client account.
    pub account: id::Account,
    /// How many tokens the node wants beyond those for waiting calls, to hold them ahead of the calls
    /// that it expects.
    pub ahead: Tokens,
    /// How many tokens of this part the node still holds.
    pub held: Tokens,
    /// The number of this request; numbers of one node increase.
    pub number: u64,
    /// How many calls wait at the node for a token.
    pub waiting: Tokens,
}

/// An [`Ask`] of the calls duty, for the gossip duty to send to the owner of a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// What to ask for.
    pub ask: Ask,
    /// The index of the part, in the order in which this node asks their owners.
    pub part: u16,
}

/// The response to an [`Ask`].
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Grant {
    /// The client account.
    pub account: id::Account,
    /// What the node gets.
    pub answer: Answer,
    /// The number of the request.
    pub number: u64,
}

/// What a node gets in response to an [`Ask`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The node that was asked does not own a part of the quota.
    Elsewhere,
    /// The node may spend these tokens.
    Granted {
        /// Whether the owner has nothing left for the node.
        is_dry: bool,
        /// How long a node that needs more has to wait before it asks again.
        pace: Span,
        /// The number of tokens, those for waiting calls first.
        tokens: Tokens,
    },
}
