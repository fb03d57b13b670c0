//! Typed reading of JSON with comments.
//!
//! A [`Reader`] walks a document and collects every finding with its line and column, so that one
//! reading of a bad file reports all that is wrong with it.

mod document;
mod reader;
mod table;

pub use document::read;
pub use reader::Reader;
pub use table::Object;
