//! Serves metrics, and answers operators about the state of the node.

mod answer;
mod handler;

pub use answer::{OPERATE, answer};
pub use handler::Admin;
