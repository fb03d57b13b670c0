//! State charts, loaded from files and interpreted.
//!
//! The names of states, events, guards and actions in a chart are closed enums of the code that
//! uses it. [`Chart::load`] validates the file against these enums, and [`Chart::step`] computes one
//! transition.

mod chart;
mod check;
mod load;
mod name;

pub use chart::{Chart, Transition};
pub use name::Name;
