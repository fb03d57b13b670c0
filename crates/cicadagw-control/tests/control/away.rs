//! Sessions.
