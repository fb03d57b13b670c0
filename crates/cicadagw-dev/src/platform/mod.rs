//! A stand-in of the platform's object API, kept in memory.

mod calls;
mod fault;
mod handlers;
mod objects;
mod server;
mod state;

pub use calls::{Calls, Stats};
pub use fault::{Change, Fault};
pub use objects::{Entry, Objects, Refusal, VALUE_MAX};
pub use server::{Handle, serve};
