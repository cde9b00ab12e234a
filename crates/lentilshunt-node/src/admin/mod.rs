//! Serves metrics, and answers operators about the state of the node.

mod handler;
mod respond;

pub use handler::Admin;
pub use respond::{OPERATE_PATH, respond};
