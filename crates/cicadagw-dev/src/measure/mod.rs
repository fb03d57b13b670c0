//! Measurements of the fleet and of calls over real processes. The command lines are
//! `examples/measure` and `examples/measure_calls.rs`.

mod announcers;
mod baseline;
pub mod calls;
mod change;
mod configuration;
mod converge;
pub mod figures;
pub mod fit;
pub mod fleet;
pub mod proc;
mod recovery;
pub mod role;
mod sample;
mod testbed;
mod window;
pub mod wire;
