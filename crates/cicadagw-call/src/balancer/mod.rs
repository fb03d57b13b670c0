//! Which endpoint a call goes to.

mod core;
mod fading;
mod member;

pub use core::{Balancer, Locality, Signal, Summary};
