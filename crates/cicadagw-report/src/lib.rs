//! Reports that show findings to people, each with the source lines around it.
//!
//! Findings are passed around as data; this crate turns them into text.

mod mask;
mod render;
mod report;
mod span;

pub use render::render;
pub use report::Report;
