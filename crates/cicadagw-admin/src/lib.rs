//! The admin duty: an HTTP server for the health, the state dump, the metrics and the log level of
//! a node.
//!
//! Its pages are described in `docs/OBSERVABILITY.md`.

mod delay;
mod dump;
mod guard;
mod health;
mod latency;
mod level;
mod metrics;
mod problem;
mod reading;
mod redact;
mod request;
mod run;
mod server;
mod setup;
mod sources;

pub use delay::Delay;
pub use redact::redact;
pub use request::Request;
pub use run::run;
pub use setup::Setup;
