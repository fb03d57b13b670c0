//! Quotas of client accounts over all nodes together.
//!
//! The quota of an account is divided into parts. One node owns each part: it alone creates the
//! part's tokens, at the part's share of the rate, and grants them to the nodes that ask for them. A
//! call takes a token at the node where it arrives. `docs/design/quotas.md` describes the whole.

mod allowance;
mod chart;
mod demand;
mod holding;
mod ledger;
mod message;
mod share;
mod shares;

pub use allowance::{Allowance, GRANT_LIFETIME};
pub use chart::{Chart, Event, Guard, State, chart};
pub use ledger::{Asker, Ledger, Terms};
pub use message::{Answer, Ask, Grant, Request};
pub use share::{Decision, Refusal, Share, Ticket};
pub use shares::{Counts, Shares};
