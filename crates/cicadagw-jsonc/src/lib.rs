//! A typed reader of JSON with comments.
//!
//! A [`Reader`] walks a document and collects every finding with its line and column, so that one
//! pass over an invalid file reports all of its errors.

mod document;
mod object;
mod reader;

pub use document::{Error, parse, read};
pub use object::Object;
pub use reader::Reader;
