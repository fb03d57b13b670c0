//! Findings: what is wrong in a file, each with its place, collected and reported together.

mod finding;
mod findings;
mod place;

pub use finding::Finding;
pub use findings::Findings;
pub use place::Location;
