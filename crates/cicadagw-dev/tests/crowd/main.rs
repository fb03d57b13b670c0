//! Clients that the operator does not control: what they can take from a node is bounded.
//!
//! Each test starts the processes of a mesh on loopback addresses and lets a small crowd of clients
//! misuse one node. It checks that the processes are alive, that their memory and descriptors stay
//! within those of the smallest host, and that an ordinary request is answered beside the crowd.
//! Nothing depends on the speed of the machine.

mod calm;
mod descriptors;
mod fixture;
mod members;
mod requests;
mod uploads;
