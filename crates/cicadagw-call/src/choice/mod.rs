//! Which endpoint a call goes to.

mod fading;
mod member;
mod set;

pub use set::{Place, Set, Signal, Summary};
