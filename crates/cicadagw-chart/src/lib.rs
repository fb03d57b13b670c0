//! State charts, read from files and interpreted.
//!
//! A chart's names of states, events, guards and actions are closed enums of the code that uses it.
//! [`Chart::load`] checks the file against them; [`Chart::step`] takes one transition.

mod chart;
mod check;
mod load;
mod name;

pub use chart::{Chart, Transition};
pub use name::Name;
