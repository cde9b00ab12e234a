//! Result of an attempt or of a call.

use hyper::{Response, StatusCode};
use lentilshunt_core::{
    id::VersionId,
    overload::Notice,
    verdict::{Reason, Verdict},
};

use super::body::Body;

/// Result of an attempt, or of a call with all its attempts.
#[derive(Debug)]
pub struct Reply {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused or its outcome is unknown; `None` for [`Verdict::Ran`].
    pub reason: Option<Reason>,
    /// Whether the request may have been sent to an upstream, which may have refused it.
    pub may_have_reached_upstream: bool,
    /// Free slots of the executing node, if it reported them.
    pub free_slots: Option<u32>,
    /// Active version of the executing node, if it reported one.
    pub version: Option<VersionId>,
    /// What the upstream has said of itself, if the executing node passes it on.
    pub notice: Option<Notice>,
    /// Response of the upstream, whose body may still be arriving, for [`Verdict::Ran`].
    pub response: Option<Response<Body>>,
}

impl Reply {
    /// Creates the reply to a request that has not run and will not run.
    #[must_use]
    pub fn refused(reason: Reason) -> Self {
        Self::failed(Verdict::NotRun, reason)
    }

    /// Creates the reply to a request whose outcome is unknown.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self::failed(Verdict::MayHaveRun, reason).with_upstream_possibly_reached()
    }

    /// Creates the reply to a request from the response of an upstream.
    #[must_use]
    pub fn from_response(response: Response<Body>) -> Self {
        Self {
            verdict: Verdict::Ran,
            reason: None,
            may_have_reached_upstream: true,
            free_slots: None,
            version: None,
            notice: None,
            response: Some(response),
        }
    }

    /// Creates the reply to a failed request.
    #[must_use]
    pub fn failed(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason: Some(reason),
            may_have_reached_upstream: false,
            free_slots: None,
            version: None,
            notice: None,
            response: None,
        }
    }

    /// Marks that the request may have been sent to an upstream.
    #[must_use]
    pub fn with_upstream_possibly_reached(mut self) -> Self {
        self.may_have_reached_upstream = true;
        self
    }

    /// Returns whether the response has a status that an attempt on another upstream may avoid.
    ///
    /// A response with status 504 does not count, since it leaves no time for
    /// another attempt.
    #[must_use]
    pub fn has_retryable_status(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| {
            let status = response.status();
            status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
        })
    }
}
