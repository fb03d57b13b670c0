//! Rollouts: a service's calls are moved from its backend servers to those of another release.
//!
//! An operator orders a rollout at the platform. One node leads it: [`Leader`] decides from the
//! reports of the nodes beside the service's backend servers, and writes each decision as the
//! [`Status`] of the order. All nodes choose backend servers by the [`Directive`] that follows from
//! it.
//!
//! Nothing here does I/O. `docs/design/rollouts.md` describes the whole.

mod chart;
mod directive;
mod judge;
mod leader;
mod order;
mod report;
mod reports;
mod schedule;
mod split;
mod status;

pub use chart::{Action, Chart, Event, Guard, Phase, chart};
pub use directive::{Directive, Group};
pub use judge::{Fault, Verdict, faulty, judge};
pub use leader::{Decision, Leader};
pub use order::{Entry, Order};
pub use report::{Report, Tally};
pub use reports::Sample;
pub use schedule::Schedule;
pub use split::{Draw, Split};
pub use status::{State, Status};
