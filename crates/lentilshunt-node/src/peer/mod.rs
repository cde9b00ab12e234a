//! Takes messages of other nodes and of the own upstream.

mod control;
mod handler;
pub mod path;
pub mod resolution;

pub use handler::Peer;
