//! Findings: the errors in a source file, each with its location, collected and reported together.

mod finding;
mod findings;
mod location;

pub use finding::Finding;
pub use findings::Findings;
pub use location::Location;
