//! The answer to the question what became of a request.

/// What became of a request on the executing node, with its answer if it is kept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Resolution<A> {
    /// The request has not run and can no longer run here.
    Barred,
    /// The request waits or runs.
    Running,
    /// The request ran, and this is its answer.
    Answered(A),
    /// The request may have run; its answer is not known here.
    MayHaveRun,
}
