//! A caller's request and its routing metadata.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Method, Request};
use lentilshunt_core::{
    admission::Precedence,
    id::{CallerId, RequestId},
    overload::{Applicant, Kind, Patience},
    quarantine::Fingerprint,
};

use super::{body::Body, clock::Moment, header};

/// Maximum time for which a request with an unread body waits for a slot.
const MAX_UNREAD_WAIT: Duration = Duration::from_millis(350);

/// A caller's request without its body, shared by all its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the caller assigned to the request; all attempts on endpoints carry it.
    pub request_id: RequestId,
    /// Destination service.
    pub service: Arc<str>,
    /// Service that sent the request: that of the upstream beside the sending node.
    pub caller: CallerId,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// End-to-end headers of the request.
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Rank of the request, which its organisation may set; 0 is the most urgent.
    pub rank: u8,
    /// Kind of the request, by which run times are estimated.
    pub kind: Kind,
    /// Time at which the request arrived.
    pub arrived_at: Moment,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Time at which the target latency of the route has passed; a later response has less value.
    pub target_at: Instant,
    /// Whether the request is a call that a run on another upstream waits for.
    pub is_nested: bool,
    /// How long the request waits at an upstream.
    pub patience: Patience,
    /// Whether the node has not read the body of the request completely.
    ///
    /// It does not notice then that the caller leaves.
    pub has_unread_body: bool,
    /// Fingerprint of the calling service, method, path and buffered part of the body; equal for
    /// repeats of the request.
    pub fingerprint: Fingerprint,
}

impl Call {
    /// Returns the time until the deadline; time in suspension counts as elapsed.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        let until_deadline = self.deadline.saturating_duration_since(Instant::now());
        until_deadline.saturating_sub(self.arrived_at.suspended_since())
    }

    /// Builds the request for the next hop, or returns `None` if the path is malformed.
    #[must_use]
    pub fn to_request(&self, body: Body) -> Option<Request<Body>> {
        let mut request = header::request_with_body(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().ok()?;
        request.headers_mut().extend(self.headers.clone());
        Some(request)
    }

    /// Returns whether the request may wait past its target latency.
    #[must_use]
    pub fn is_past_target(&self) -> bool {
        self.patience == Patience::UntilDeadline
    }

    /// Returns the call as one that may wait past its target latency.
    #[must_use]
    pub fn past_target(&self) -> Self {
        Self {
            patience: Patience::UntilDeadline,
            ..self.clone()
        }
    }

    /// Returns the request as one that asks for a slot.
    ///
    /// It waits only until its target latency has passed, because its caller then retries within
    /// the time that remains. A request that may wait past its target latency waits until the
    /// deadline.
    #[must_use]
    pub fn applicant(&self) -> Applicant {
        let is_past_target = self.is_past_target();
        Applicant {
            precedence: Precedence {
                rank: self.rank,
                is_first: !self.is_nested,
                is_past_target,
                deadline: if is_past_target {
                    self.deadline
                } else {
                    self.target_at.min(self.deadline)
                },
            },
            kind: self.kind,
            waits_for_turn: self.patience == Patience::UntilTarget,
            deadline: self.deadline,
            starts_by: self
                .has_unread_body
                .then(|| Instant::now() + MAX_UNREAD_WAIT),
        }
    }
}
