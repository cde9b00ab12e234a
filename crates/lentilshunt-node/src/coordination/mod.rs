//! Requests to the node that decides for the fleet.
//!
//! All nodes prefer the same node, which then is accountant of quotas and coordinator of roll-outs.
//! If it does not reply, a node turns to the next one for some seconds.

mod client;

pub use client::{Client, Coordinator};
