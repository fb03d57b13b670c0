//! The settings of a node, loaded from JSON with comments and validated.

mod address;
mod key;
mod level;
mod load;
mod render;
pub mod retry;
mod settings;

pub use cicadagw_jsonc::Error;
pub use key::{Format, Key, Section};
pub use level::Level;
pub use load::{load, parse};
pub use render::render;
pub use settings::{Budget, Dialect, Peering, Settings, Timing};
