//! The messages between the nodes of the distribution tree, independent of encoding and transport.
//!
//! A child opens a link to its parent with a [`Hello`]. From then on the parent sends [`Down`]
//! messages to the child, and the child sends [`Up`] messages to the parent.

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
