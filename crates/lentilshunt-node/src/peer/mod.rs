//! Takes messages of other nodes and of the own upstream.

mod control;
mod handler;
pub mod path;

pub use handler::Peer;
