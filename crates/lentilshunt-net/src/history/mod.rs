//! Events for the checkers of test runs.

mod event;
mod writer;

pub use event::{new_event, now_us};
pub use writer::Writer;
