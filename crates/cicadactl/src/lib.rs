//! The commands of `cicadactl`, the command line of operators, as a library.
//!
//! Every command returns an [`Answer`] or a [`Failure`]; the program prints them.

pub mod admin;
mod answer;
pub mod change;
mod exit;
mod failure;
pub mod file;
mod fleet;
pub mod follow;
mod rate_limiter;
pub mod show;
mod table;

pub use answer::Answer;
pub use exit::Exit;
pub use failure::Failure;
pub use fleet::{Domain, Fleet};
pub use rate_limiter::RateLimiter;
