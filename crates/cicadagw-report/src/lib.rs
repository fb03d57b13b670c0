//! Findings shown to people, each with the line that it stands in.
//!
//! Findings go through the system as data; this is the edge where they become text.

mod diagnostic;
mod mask;
mod render;
mod span;

pub use render::render;
