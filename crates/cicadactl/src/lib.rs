//! The commands of `cicadactl`, the command line of operators, as a library.
//!
//! Every command returns an [`Output`] or a [`Failure`]; the program prints them.

pub mod admin;
pub mod change;
mod exit;
mod failure;
pub mod file;
mod fleet;
pub mod follow;
mod output;
mod rate_limiter;
pub mod show;
mod table;

pub use exit::Exit;
pub use failure::Failure;
pub use fleet::{Domain, Fleet};
pub use output::Output;
pub use rate_limiter::RateLimiter;
