//! A caller's request with what its attempts need.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Method, Request};
use lentilshunt_core::{
    admission::Turn,
    id::{CallerId, RequestId},
    quarantine::Fingerprint,
};

use super::{body::Body, clock::Moment, header};

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the caller gave to this attempt of it.
    pub request_id: RequestId,
    /// Service that answers.
    pub service: Arc<str>,
    /// Service beside which the request began.
    pub caller: CallerId,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// When the request arrived.
    pub arrived_at: Moment,
    /// Instant by which the request must be answered.
    pub deadline: Instant,
    /// Instant after which the answer is worth less.
    pub target_at: Instant,
    /// Whether the caller sent the request before, and `target_at` had passed by now.
    pub late: bool,
    /// What makes repeats of the request the same.
    pub fingerprint: Fingerprint,
}

impl Call {
    /// Returns the time until the deadline, without the time spent in suspension.
    #[must_use]
    pub fn remaining(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.saturating_sub(self.arrived_at.suspended_since())
    }

    /// Returns the request for its next hop, or none for a malformed path.
    #[must_use]
    pub fn to_request(&self, body: Body) -> Option<Request<Body>> {
        let mut request = header::request(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().ok()?;
        request.headers_mut().extend(self.headers.clone());
        Some(request)
    }

    /// Returns the order of the request among those that wait for a slot.
    ///
    /// A request that can no longer be answered with full worth is not waited
    /// for: its caller comes back for what is left of the time.
    #[must_use]
    pub fn turn(&self) -> Turn {
        Turn {
            rank: self.rank,
            late: self.late,
            deadline: if self.late {
                self.deadline
            } else {
                self.target_at.min(self.deadline)
            },
        }
    }
}
