//! A whole mesh of processes, for tests that make parts of it fail.

mod backend;
mod journal;
mod processes;
mod traffic;
mod watch;

pub use backend::Backend;
pub use journal::Journal;
pub use processes::{Mesh, PATIENCE};
pub use traffic::Traffic;
pub use watch::Watch;
