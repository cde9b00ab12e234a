//! Outcome of a request as the ledger reports it.

/// State of a request on the executing node, with its response if it is kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution<R> {
    /// The request has not run and can no longer run here.
    Barred,
    /// The request waits or runs.
    Running,
    /// The request ran and returned this response.
    Answered(R),
    /// The request may have run; no response is available here.
    MayHaveRun,
}
