//! Upstream processes that have said that they leave.
//!
//! A report that a process is in use may have been sent before the process said that it leaves, and
//! arrive late. Therefore each process that has left is remembered for longer than its reports can
//! be delayed, also when it is no longer the current one.

mod departure;
mod history;
mod start;

pub use departure::Departure;
pub use history::History;
pub use start::Start;
