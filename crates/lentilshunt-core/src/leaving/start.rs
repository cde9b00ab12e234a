//! The start of a process that a report names.

/// A start of a process, with the number of a report of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start<'a> {
    /// Id of the process.
    pub process: &'a str,
    /// Start of the process by its own clock, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Sequence number of the report, which begins at 1 with the start.
    pub sequence: u64,
}
