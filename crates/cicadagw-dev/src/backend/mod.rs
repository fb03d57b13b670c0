//! A stand-in of a backend server: it announces itself, serves calls and counts what it runs.

mod announcement;
mod announcer;
mod answer;
mod fault;
mod handlers;
mod server;
mod state;
mod stats;

pub use announcement::{Announcement, Load, Renewal};
pub use answer::{ANSWER_BYTES, ANSWER_CHUNKED, Answer, REQUEST_ID};
pub use fault::{Change, Close, Fault};
pub use server::{Backend, Handle, run, serve};
pub use stats::Stats;
