//! A change takes effect whole and once at most, and its operator is told the truth.

mod change;
mod fixture;
mod property;
mod session;
mod store;
