//! A change takes effect completely and at most once, and the outcome that its operator receives is
//! correct.

mod change;
mod fixture;
mod property;
mod session;
mod store;
