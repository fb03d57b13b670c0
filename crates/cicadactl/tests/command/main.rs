//! What every command prints and how it ends, against the stand-in of the platform.

mod page;
mod race;
mod refusals;
mod sessions;
mod shell;
