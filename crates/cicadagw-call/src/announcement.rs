//! The announcements of backend servers, and their order.

use std::net::SocketAddr;

use cicadagw_unit::id;
use cicadagw_unit::size::Slots;
use cicadagw_unit::time::Span;

/// The order of announcements: the newer one is greater. A backend server that sends neither field
/// has the default, with which no announcement is newer than another.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// When the backend server started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The number of the announcement since that start.
    pub sequence: u64,
}

/// An announcement, by which a backend server registers and renews its registration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The address on which it accepts calls.
    pub address: SocketAddr,
    /// How many connections it accepts.
    pub connections: Slots,
    /// The endpoint id, usually new for every start of the backend server.
    pub endpoint: id::Endpoint,
    /// How many calls run now, as reported by the backend server.
    pub in_flight: Slots,
    /// Whether it drains and accepts no new calls.
    pub is_draining: bool,
    /// The order among the announcements of the backend server.
    pub order: Order,
    /// The release that it runs, if it names one.
    pub release: Option<id::Release>,
    /// The service that it belongs to.
    pub service: id::Service,
    /// How many calls it can run concurrently.
    pub slots: Slots,
    /// How much longer it stays slow after its start.
    pub warm_up: Span,
}
