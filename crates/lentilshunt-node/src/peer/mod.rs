//! Receives requests of other nodes, of the local upstream and of operators.

mod control;
mod handler;
pub mod path;
pub mod resolution;

pub use handler::Inbound;
