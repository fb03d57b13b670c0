//! Findings shown to people, each with the line that it stands in.
//!
//! Findings go through the system as data; this is the edge where they become text.

mod mask;
mod render;
mod report;
mod span;

pub use render::render;
pub use report::Report;
