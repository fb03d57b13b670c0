//! Decisions about control: adoption of versions, leases, the tree, endpoints, status.
