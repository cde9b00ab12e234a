//! Calls, their attempts and replies, and their encoding between nodes.

mod attempt;
mod envelope;
mod executor;
mod header;
mod reply;
mod request;

pub use attempt::Attempt;
pub use envelope::{
    deadline, end_to_end, read_attempt, read_call, read_reply, remaining_ms, write_attempt,
    write_call, write_reply,
};
pub use executor::Executor;
pub use header::Header;
pub use reply::Reply;
pub use request::Call;
