//! A network of dissemination strategies in one process, in virtual time.
//!
//! Many instances of a [`Strategy`](lentilshunt_core::dissemination::Strategy)
//! exchange messages over a queue of deliveries with latencies. Nodes can be
//! killed, started again, paused and woken; links can be cut in one direction,
//! and messages delayed and duplicated. It serves tests and measurements, and
//! models nothing else of a cluster.
//!
//! A run is a function of its seed: virtual time, latencies and all random
//! choices follow from it. Only the processor time is that of the machine.

mod cut;
mod delivery;
mod node;
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
