//! The calls duty: takes calls, carries them to backend servers, and takes their announcements.
//!
//! One thread serves both listeners. What is decided stands in `cicadagw-call`; this package is the
//! HTTP around it. `docs/PROTOCOL.md` describes the headers and status codes.

mod announce;
mod answer;
mod clock;
mod exchange;
mod gate;
mod header;
mod ingress;
mod listen;
mod listener;
mod node;
mod outbox;
mod pacer;
mod peers;
mod relay;
mod reply;
mod request;
mod run;
mod setup;
pub mod stats;
mod target;
mod trial;
mod upkeep;
mod upload;

pub use listener::SNAPSHOT_PATH;
pub use run::run;
pub use setup::{Limits, Setup};
pub use stats::Stats;
