//! The links duty: carries messages between nodes over JSON-RPC.
