//! Endpoints: the records that are replicated across the fleet, and each node's table of them.
//!
//! A record is keyed by its endpoint id, which is new for every start of a backend server, and
//! ordered by a sequence number that only increases. A delayed update therefore cannot revive an
//! endpoint that is gone.

mod departure;
mod local;
mod record;
mod table;

pub use departure::{Departure, Departures};
pub use local::LocalUpdate;
pub use record::{Record, State};
pub use table::{Outcome, Table};
