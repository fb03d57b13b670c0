//! The proxy of a node: accepts calls, forwards them to backend servers, and receives the
//! announcements of local backend servers.
//!
//! The proxy runs on a single thread, the calls duty. Routing, load balancing, admission and retry
//! decisions are made in `cicadagw-call`; this package contains the HTTP transport around them.
//! `docs/PROTOCOL.md` describes the headers and status codes.

mod announce;
mod attempts;
mod backend;
mod buffer;
mod call_guard;
mod clock;
mod delivery;
mod departed;
pub mod descriptor_limit;
mod exchange;
mod header;
mod ingress;
mod leaving;
mod listener;
mod listener_kind;
mod maintenance;
mod node;
mod outbox;
mod pacer;
mod parts;
mod peers;
mod quotas;
mod relay;
mod reply;
mod reporter;
mod request;
mod response;
mod room;
mod routing;
mod run;
mod service_calls;
mod setup;
pub mod stats;
mod upload;

pub use listener::SNAPSHOT_PATH;
pub use quotas::Quota;
pub use run::{run, serve};
pub use setup::{Limits, Setup};
pub use stats::Stats;
