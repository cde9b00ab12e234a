//! Runs requests on the own upstream.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use lentilshunt_core::{
    execution::{Ledger, Limits, Resolution},
    verdict::Reason,
};
use lentilshunt_net::call::{Call, Reply};
use lentilshunt_schema::peer::{Announcement, Phase};
use tokio_util::sync::CancellationToken;

use super::{Backend, Upstream, attempt::Attempt, locked, now};
use crate::context::Context;

/// Time for which an announcement counts.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1200);

/// Decides which requests run on the upstream, and runs them.
#[derive(Debug)]
pub(super) struct Runner {
    context: Arc<Context>,
    backend: Arc<dyn Backend>,
    upstream: ArcSwapOption<Upstream>,
    ledger: Mutex<Ledger<Reply>>,
    running: AtomicU32,
}

/// Counts a running request until it is dropped.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Runner {
    pub(super) fn new(context: Arc<Context>, backend: Arc<dyn Backend>) -> Self {
        Self {
            context,
            backend,
            upstream: ArcSwapOption::empty(),
            ledger: Mutex::new(Ledger::new(Limits::default())),
            running: AtomicU32::new(0),
        }
    }

    pub(super) fn announce(&self, announcement: &Announcement) {
        let Ok(address) = announcement.address.parse() else {
            return;
        };
        self.upstream.store(Some(Arc::new(Upstream {
            address,
            phase: announcement.phase,
            slots: announcement.slots,
            expires_at: now() + ANNOUNCEMENT_LIFETIME,
        })));
    }

    pub(super) fn resolve(&self, request: &str, deadline: Instant) -> Resolution<Reply> {
        locked(&self.ledger).resolve(now(), request, deadline)
    }

    pub(super) fn recall(&self, request: &str) -> Resolution<Reply> {
        locked(&self.ledger).recall(request)
    }

    /// Runs an idempotent request; dropping the future cancels it.
    pub(super) async fn run(&self, call: &Arc<Call>) -> Reply {
        let upstream = match self.admit() {
            Ok(upstream) => upstream,
            Err(reason) => return Reply::refused(reason),
        };
        self.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(&self.running);
        self.backend.send(upstream.address, Arc::clone(call)).await
    }

    /// Runs a request at most once.
    ///
    /// `gone` is cancelled when nobody waits for the reply; a request that has
    /// not started by then is refused.
    pub(super) async fn run_once(&self, call: Arc<Call>, gone: CancellationToken) -> Reply {
        let keyed = call.key.is_some();
        let accepted = locked(&self.ledger).accept(now(), &call.request, call.deadline, keyed);
        if let Err(reason) = accepted {
            return self.seen(&call.request, reason);
        }
        let attempt = Attempt::new(&self.ledger, &call.request);
        let upstream = match self.admit() {
            Ok(upstream) => upstream,
            Err(reason) => return attempt.refuse(reason),
        };
        if gone.is_cancelled() {
            return attempt.refuse(Reason::ConnectionLost);
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(&self.running);
        if let Err(reason) = attempt.start(now()) {
            return attempt.refuse(reason);
        }
        let reply = self.backend.send(upstream.address, Arc::clone(&call)).await;
        attempt.finish(reply)
    }

    /// Returns the reply to an attempt that the ledger did not accept.
    fn seen(&self, request: &str, reason: Reason) -> Reply {
        if reason != Reason::Duplicate {
            return Reply::refused(reason);
        }
        match self.recall(request) {
            Resolution::Answered(reply) => reply,
            Resolution::Barred => Reply::refused(Reason::Barred),
            Resolution::Running | Resolution::MayHaveRun => Reply::unknown(reason),
        }
    }

    fn admit(&self) -> Result<Arc<Upstream>, Reason> {
        if self.context.stop.is_cancelled() {
            return Err(Reason::Draining);
        }
        let upstream = self.upstream.load_full().ok_or(Reason::NotReady)?;
        if upstream.expires_at < now() {
            return Err(Reason::NotReady);
        }
        match upstream.phase {
            Phase::Ready => {}
            Phase::Draining => return Err(Reason::Draining),
            Phase::Starting | Phase::Gone => return Err(Reason::NotReady),
        }
        let room = upstream.slots + self.context.settings.calls.queue;
        if self.running.load(Ordering::Relaxed) >= room {
            return Err(Reason::QueueFull);
        }
        Ok(upstream)
    }
}
