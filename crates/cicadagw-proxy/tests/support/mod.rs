//! Fixtures: nodes that run on their own threads, and backend servers and callers that use plain
//! TCP.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only some of the fixtures"
)]

pub mod backend;
pub mod caller;
pub mod early;
pub mod endless;
pub mod fuzz;
pub mod late_reader;
pub mod memory;
pub mod mesh;
pub mod reference;
pub mod refusing;
pub mod scripted;
pub mod silencing;
pub mod strict;
pub mod trickle;
