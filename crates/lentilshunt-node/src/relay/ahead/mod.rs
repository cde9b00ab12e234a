//! Starts requests that a client sends before earlier ones have been answered.
//!
//! hyper handles the requests of a connection one after the other. A reader passes the bytes of
//! the client on to it and shows them to a [`Scanner`]; a queue starts the requests found that
//! may start early and keeps their responses until hyper comes to them.

mod buffer;
mod queue;
mod reader;
mod scanner;

pub(super) use buffer::Stream;
pub(super) use queue::Queue;
pub(super) use reader::Reader;
pub use scanner::{Scanned, Scanner};
