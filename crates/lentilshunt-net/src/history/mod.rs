//! Event history, which checkers verify after a test run.

mod event;
mod writer;

pub use event::{new_event, now_us};
pub use writer::Writer;
