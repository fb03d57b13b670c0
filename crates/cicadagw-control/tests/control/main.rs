//! Tests of the control state machine: recorded transcripts and properties.

mod endpoints;
mod fixture;
mod lease;
mod outage;
mod pair;
mod property;
mod render;
mod session;
mod status;
mod store;
mod takeover;
mod tree;
mod version;
