//! A test backend server: it announces itself to the node of its host, responds to calls, counts
//! how often each request was executed, and fails as a test asks.

mod announcement;
mod announcer;
mod echo;
mod fault;
mod handlers;
mod server;
mod state;
mod stats;

pub use announcement::{Announcement, Load, Renewal};
pub use echo::{ANSWER_BYTES_HEADER, ANSWER_CHUNKED_HEADER, Echo, REQUEST_ID_HEADER};
pub use fault::{Change, Close, Fault};
pub use server::{Backend, Handle, run, serve};
pub use stats::Stats;
