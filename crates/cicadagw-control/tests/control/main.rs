//! Sessions and properties of the decisions about control.

mod away;
mod fixture;
mod lease;
mod news;
mod pair;
mod property;
mod render;
mod session;
mod status;
mod store;
mod takeover;
mod tree;
mod version;
