//! The node: proxy and control in one process, one for each backend server host.

fn main() {}
