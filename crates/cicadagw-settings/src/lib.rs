//! The settings of a node, read from JSON with comments and checked together.

mod level;
mod load;
mod settings;

pub use level::Level;
pub use load::load;
pub use settings::{Budget, Settings, Timing};
