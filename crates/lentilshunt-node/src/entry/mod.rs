//! Takes calls of callers and sends attempts to executing nodes.

mod dispatch;
mod handler;
mod reader;
mod remote;

pub use handler::Entry;
pub use remote::Remote;
