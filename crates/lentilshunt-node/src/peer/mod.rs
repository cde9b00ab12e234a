//! Takes messages of other nodes and of the own upstream.

mod control;
mod handler;
pub mod path;
pub mod question;

pub use handler::Peer;
