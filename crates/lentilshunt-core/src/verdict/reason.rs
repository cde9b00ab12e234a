//! Reasons of refusals and retries.

use derive_more::Display;

/// Reason why an attempt or a call was refused.
///
/// Each reason is a label of the refusal and retry counters and is sent to the
/// caller in the `lentilshunt-reason` header.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// No configuration is in force on this node yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The request names no service, or an invalid header.
    #[display("bad-request")]
    BadRequest,
    /// The service is not in the configuration.
    #[display("unknown-service")]
    UnknownService,
    /// The rules do not let this caller reach the service.
    #[display("caller-not-allowed")]
    CallerNotAllowed,
    /// The service has no live endpoint.
    #[display("no-endpoint")]
    NoEndpoint,
    /// Every candidate is known to be full.
    #[display("no-room")]
    NoRoom,
    /// The upstream's slots and queue are full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline passed or cannot be met.
    #[display("deadline")]
    Deadline,
    /// The upstream or its node is leaving.
    #[display("draining")]
    Draining,
    /// The upstream beside the node is absent or not ready.
    #[display("not-ready")]
    NotReady,
    /// No connection could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The connection broke after the request was sent.
    #[display("connection-lost")]
    ConnectionLost,
    /// The upstream was lost while it ran the request.
    #[display("upstream-lost")]
    UpstreamLost,
    /// The request id was barred before it arrived.
    #[display("barred")]
    Barred,
    /// A request of the same id or key has been seen.
    #[display("duplicate")]
    Duplicate,
    /// The claim for the idempotency key could not be made.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// The request has crashed upstreams and is quarantined.
    #[display("quarantined")]
    Quarantined,
    /// The retry budget of the service is used up.
    #[display("retry-budget")]
    RetryBudget,
    /// The body of the request or of its answer is over the limit.
    #[display("too-large")]
    TooLarge,
    /// The upstream answered something other than a whole HTTP response.
    #[display("bad-answer")]
    BadAnswer,
}

impl Reason {
    /// All reasons, in the order of their definition.
    pub const ALL: [Self; 20] = [
        Self::NoConfiguration,
        Self::BadRequest,
        Self::UnknownService,
        Self::CallerNotAllowed,
        Self::NoEndpoint,
        Self::NoRoom,
        Self::QueueFull,
        Self::Deadline,
        Self::Draining,
        Self::NotReady,
        Self::Unreachable,
        Self::ConnectionLost,
        Self::UpstreamLost,
        Self::Barred,
        Self::Duplicate,
        Self::ClaimUnavailable,
        Self::Quarantined,
        Self::RetryBudget,
        Self::TooLarge,
        Self::BadAnswer,
    ];

    /// Reads the reason from its header value.
    #[must_use]
    pub fn from_header(value: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|reason| reason.to_string() == value)
    }
}
