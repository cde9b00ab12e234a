//! Stand-in for the links between failure domains.
//!
//! A process relays TCP between the addresses that nodes advertise and those
//! that they listen on. The source IP of a connection determines its failure
//! domain, so that latency, cuts and silence can be set for each direction
//! between two failure domains while the processes run.

mod admin;
mod direction;
mod forward;
mod relay;
mod topology;

pub use admin::Admin;
pub use topology::Topology;
