//! Receives messages of other nodes and of the local upstream.

mod control;
mod handler;
pub mod path;
pub mod resolution;

pub use handler::Inbound;
