//! What must always hold, proved with real processes that are killed, frozen and cut off.

mod calls;
mod fixture;
mod operators;
mod platform;
mod roots;
