//! Fixtures: nodes on threads of their own, and a backend server and a caller that speak plain TCP.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part of the fixtures"
)]

pub mod backend;
pub mod caller;
pub mod mesh;
pub mod scripted;
