//! Invariants of a run.

use derive_more::Display;

/// Invariant that the checkers verify on a history.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// No node installs an older version than before.
    #[display("versions never move back")]
    VersionOrder,
    /// Every route refers to a known service and to started endpoints.
    #[display("no dangling routes")]
    KnownRoutes,
    /// A version is installed with exactly the accepted content.
    #[display("no partial versions")]
    CompleteVersion,
    /// A caller receives the complete response to its own request.
    #[display("complete response to own request")]
    MatchingResponse,
    /// A request that is reported to its caller as not run has not run.
    #[display("not-run requests have not run")]
    AccurateNotRun,
    /// A non-idempotent request runs at most once.
    #[display("non-idempotent requests run at most once")]
    AtMostOnce,
    /// A draining upstream receives no new requests.
    #[display("no new requests while draining")]
    Drain,
    /// A planned stop interrupts no request in flight.
    #[display("planned stops interrupt no request")]
    PlannedStop,
    /// An accepted version is in force on every node within the time limit.
    #[display("accepted versions come into force")]
    Convergence,
    /// Acceptances are serial, each based on the previous version.
    #[display("acceptances are serial")]
    SerialAcceptance,
}
