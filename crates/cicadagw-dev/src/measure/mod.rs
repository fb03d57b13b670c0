//! Measuring programs; `examples/measure` is their command line.

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
mod stage;
mod window;
pub mod wire;
