//! A fake platform for tests: the object API on an in-memory store, with fault injection.

mod fault;
mod handlers;
mod objects;
mod server;
mod state;
mod stats;

pub use fault::{Change, Faults};
pub use objects::{Entry, MAX_VALUE_BYTES, Objects, PutError};
pub use server::{Handle, serve};
pub use stats::{Calls, Stats};
