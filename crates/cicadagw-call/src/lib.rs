//! Decisions about calls: routing, choice of backend server, limits, retries.
