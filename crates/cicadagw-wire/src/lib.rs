//! The messages between nodes, apart from how they are encoded and carried.
//!
//! A child joins its parent with a [`Hello`]; from then on [`Down`] goes to the child and [`Up`] to
//! the parent.

mod directory;
pub mod down;
mod hello;
pub mod link;
pub mod member;
pub mod report;
pub mod status;
mod up;

pub use directory::Directory;
pub use down::Down;
pub use hello::{Hello, Refusal};
pub use member::Member;
pub use report::{Laggard, Reason, Report};
pub use status::Status;
pub use up::Up;
