//! What an attempt, or a whole call, came to.

use hyper::{Response, StatusCode};
use lentilshunt_core::{
    id::VersionId,
    verdict::{Reason, Verdict},
};

use super::body::Body;

/// Outcome of an attempt or of a call.
#[derive(Debug)]
pub struct Reply {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why there is no answer of an upstream.
    pub reason: Option<Reason>,
    /// Whether the request was sent to an upstream, which may have refused it.
    pub reached_upstream: bool,
    /// Free slots of the executing node, when it told.
    pub free_slots: Option<u32>,
    /// Version in force on the executing node, when it told.
    pub version: Option<VersionId>,
    /// Answer of the upstream, for [`Verdict::Ran`].
    pub response: Option<Response<Body>>,
}

impl Reply {
    /// Creates the reply to a request that has not run and never will.
    #[must_use]
    pub fn refused(reason: Reason) -> Self {
        Self::failed(Verdict::NotRun, reason)
    }

    /// Creates the reply to a request whose outcome is not known.
    #[must_use]
    pub fn unknown(reason: Reason) -> Self {
        Self::failed(Verdict::MayHaveRun, reason).with_upstream_reached()
    }

    /// Creates the reply to a request that an upstream answered.
    #[must_use]
    pub fn from_response(response: Response<Body>) -> Self {
        Self {
            verdict: Verdict::Ran,
            reason: None,
            reached_upstream: true,
            free_slots: None,
            version: None,
            response: Some(response),
        }
    }

    /// Creates the reply to a failed request.
    #[must_use]
    pub fn failed(verdict: Verdict, reason: Reason) -> Self {
        Self {
            verdict,
            reason: Some(reason),
            reached_upstream: false,
            free_slots: None,
            version: None,
            response: None,
        }
    }

    /// Notes that the request was sent to an upstream.
    #[must_use]
    pub fn with_upstream_reached(mut self) -> Self {
        self.reached_upstream = true;
        self
    }

    /// Returns whether the upstream failed in a way in which another one may not.
    ///
    /// One that ran out of time leaves none for another attempt.
    #[must_use]
    pub fn is_upstream_failure(&self) -> bool {
        let response = self.response.as_ref();
        response.is_some_and(|response| {
            let status = response.status();
            status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
        })
    }
}
