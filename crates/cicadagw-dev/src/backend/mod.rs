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

pub use announcement::{Acknowledgement, Announcement, Load};
pub use echo::{Echo, REQUEST_ID_HEADER, RESPONSE_BYTES_HEADER, RESPONSE_CHUNKED_HEADER};
pub use fault::{Change, Close, Faults};
pub use server::{Backend, Handle, run, serve};
pub use stats::Stats;
