//! The reply to a call or to one attempt of it.

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use lentilshunt_core::verdict::{Reason, Verdict};

/// Outcome of a call or of one attempt.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Whether the request has run or may have run.
    pub verdict: Verdict,
    /// Reason why the request was refused or its outcome is unknown.
    pub reason: Option<Reason>,
    /// HTTP status for the caller.
    pub status: StatusCode,
    /// End-to-end headers of the upstream's response.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Free slots of the executing node, if it reported them.
    pub free_slots: Option<u32>,
}

impl Reply {
    /// Creates a reply to a request that has not run and can no longer run.
    #[must_use]
    pub fn refused(reason: Reason) -> Self {
        Self::failed(Verdict::NotRun, reason)
    }

    /// Creates a reply to a request whose outcome is unknown.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self::failed(Verdict::MayHaveRun, reason)
    }

    /// Creates a reply with an empty body to a failed request.
    #[must_use]
    pub fn failed(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason: Some(reason),
            status: failure_status(verdict, reason),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            free_slots: None,
        }
    }
}

/// Returns the HTTP status that reports a failure to the caller.
fn failure_status(verdict: Verdict, reason: Reason) -> StatusCode {
    match (verdict, reason) {
        (Verdict::MayHaveRun, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, Reason::BadRequest) => StatusCode::BAD_REQUEST,
        (_, Reason::UnknownService) => StatusCode::NOT_FOUND,
        (_, Reason::CallerNotAllowed) => StatusCode::FORBIDDEN,
        (_, Reason::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, Reason::Duplicate) => StatusCode::CONFLICT,
        (_, Reason::Quarantined) => StatusCode::UNPROCESSABLE_ENTITY,
        (_, Reason::NoRoom | Reason::QueueFull | Reason::RateLimited | Reason::RetryBudget) => {
            StatusCode::TOO_MANY_REQUESTS
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
