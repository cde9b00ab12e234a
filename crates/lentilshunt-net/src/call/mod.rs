//! A caller's request, its reply, and how both travel between nodes.

mod envelope;
mod executor;
mod header;
mod reply;
mod request;

pub use envelope::{end_to_end, read_call, read_reply, write_call, write_reply};
pub use executor::Executor;
pub use header::Name;
pub use reply::Reply;
pub use request::Call;
