//! Logs as JSON lines on the standard output, each naming its node.
//!
//! A thread of its own writes the lines. If nobody reads the output, lines are dropped, and no other
//! thread waits.
//!
//! The logger works before the settings are read. A thread that panics logs its reason.
//!
//! Repeated messages are rate-limited: a message that is logged too often within a second is
//! counted, and one line reports how many repeats were suppressed.

mod install;
pub mod limit;
mod lines;
mod name;
mod origin;
mod sink;
mod size_limit;

pub use install::{Error, dropped_lines, flush, install, report_end, set_level, set_node};
pub use lines::Lines;
pub use name::Name;
pub use origin::Origin;
