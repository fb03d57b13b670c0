//! Fault tests: the guarantees of the mesh, checked with real processes that are killed, suspended
//! or cut off from the platform.

mod calls;
mod fixture;
mod operators;
mod platform;
mod roots;
