//! The settings of a node, read from JSON with comments and checked together.

mod load;
mod settings;

pub use load::load;
pub use settings::{Budget, Level, Settings, Timing};
