//! Logs as JSON lines on the standard output, each naming its node.
//!
//! Repeated messages are rate-limited: a message that is logged too often within a second is
//! counted, and one line reports how many repeats were suppressed.

mod install;
pub mod limit;
mod lines;
mod origin;

pub use install::{Error, install, set_level};
pub use lines::Lines;
pub use origin::Origin;
