//! Endpoints: the records that spread over the fleet, and the table that every node holds.
//!
//! A record is keyed by its endpoint id, which is new for every start of a backend server, and by a
//! sequence number that only rises. So no old news can revive an endpoint.

mod local;
mod record;
mod table;

pub use local::LocalUpdate;
pub use record::{Record, State};
pub use table::{Outcome, Table};
