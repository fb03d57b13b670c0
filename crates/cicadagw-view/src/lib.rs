//! The routing state of a node: its configuration snapshot and the endpoints that it knows.
//!
//! The control duty publishes each view as a whole, by one atomic pointer swap. A call loads the
//! view once, on arrival, and uses the same view until it ends.

mod clock;
mod shared;
mod view;

pub use clock::host_time;
pub use shared::Shared;
pub use view::{Endpoints, Rollouts, View};
