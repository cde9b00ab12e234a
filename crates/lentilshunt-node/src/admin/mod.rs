//! Serves metrics and the state of the node to operators.

mod handler;
mod respond;

pub use handler::Admin;
pub use respond::{OPERATE_PATH, respond};
