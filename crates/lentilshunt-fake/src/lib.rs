//! Simulates a fleet of nodes in one process, in virtual time.
//!
//! Each node runs a [`Strategy`](lentilshunt_core::dissemination::Strategy), and
//! the nodes exchange messages over a queue of deliveries with latencies. Nodes
//! can be killed, restarted, paused and resumed; links can be cut in one
//! direction, and messages can be delayed and duplicated. The simulation is for
//! tests and measurements and covers no other part of a cluster.
//!
//! [`overload`] is a separate model, of callers and upstreams under load.
//!
//! The seed determines a run: virtual time, latencies and all random choices
//! follow from it. Only the CPU time is measured on the real machine.

mod cut;
mod delivery;
mod node;
pub mod overload;
mod placement;
mod platform;
mod simulation;
mod traffic_stats;

pub use cut::{Cut, Side};
pub use node::Node;
pub use placement::{NodeSpec, Placement};
pub use platform::Platform;
pub use simulation::{Simulation, StrategyFactory};
pub use traffic_stats::TrafficStats;
