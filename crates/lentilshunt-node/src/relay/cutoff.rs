//! Breaks off responses that last longer than their request may.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use slog::{Level, Logger, warn};

use super::{Call, LogLimiter, body::Body, expiring};

/// Time after the deadline of a request for which its response is still passed on.
///
/// A response that is almost complete still arrives; one that has no end is broken off.
const GRACE: Duration = Duration::from_millis(200);

/// Breaks off responses that are not complete by the deadline of their request.
#[derive(Clone, Debug)]
pub(super) struct Cutoff {
    log: Logger,
    log_limiter: Arc<LogLimiter>,
}

impl Cutoff {
    /// Creates a cutoff that logs each response that it breaks off, up to a rate.
    pub(super) fn new(log: &Logger) -> Self {
        Self {
            log: log.clone(),
            log_limiter: Arc::default(),
        }
    }

    /// Returns the rest of the response to a call, which ends with an error if it is not complete
    /// by the deadline of the call.
    pub(super) fn apply(&self, body: Body, call: &Call) -> Body {
        let deadline = Instant::now() + call.remaining() + GRACE;
        let Self { log, log_limiter } = self.clone();
        let request_id = call.request_id.clone();
        expiring::with_deadline(body, deadline, move || {
            metrics::counter!("lentilshunt_responses_cut_off_total").increment(1);
            if log_limiter.allows(Level::Warning, Instant::now(), &log) {
                warn!(log, "response broken off at the deadline of its request";
                    "request" => request_id);
            }
        })
    }
}
