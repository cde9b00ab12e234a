//! The end of a process that has been told to stop.

use std::time::Instant;

/// The last instants of a process.
#[derive(Clone, Copy, Debug)]
pub struct End {
    /// Time until which requests are accepted whatever their deadline is.
    pub accept_until: Instant,
    /// Time by which each request must have its response.
    pub respond_by: Instant,
}
