//! What must always hold.

use derive_more::Display;

/// One of the promises that a history is judged by.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// No node moves back to an older version.
    #[display("no version moves back")]
    VersionOrder,
    /// No route names a service or endpoint that the node does not have.
    #[display("no dangling route")]
    KnownRoutes,
    /// A version is installed with exactly the accepted content.
    #[display("no partial version")]
    CompleteVersion,
    /// A caller receives the whole answer to its own request.
    #[display("whole own answer")]
    MatchingResponse,
    /// A request whose caller is told that it was not run has not run.
    #[display("true not-run")]
    AccurateNotRun,
    /// A non-idempotent request runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// An upstream that drains receives no new work.
    #[display("no work while draining")]
    Drain,
    /// A planned stop cuts off no request in flight.
    #[display("planned stops cut nothing")]
    PlannedStop,
    /// An accepted version is soon in force on every node.
    #[display("accepted versions in force")]
    Convergence,
    /// Acceptances happen one after another, each on the version before it.
    #[display("acceptances in one order")]
    SerialAcceptance,
}
