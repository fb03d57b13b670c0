//! A complete mesh of real processes, for tests that stop, suspend or disconnect parts of it.

mod backend;
mod journal;
mod monitor;
mod processes;
mod traffic;

pub use backend::Backend;
pub use journal::Journal;
pub use monitor::Monitor;
pub use processes::{Mesh, WAIT_TIMEOUT};
pub use traffic::Traffic;
