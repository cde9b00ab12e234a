//! Guards the own upstream and executes attempts on it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use hyper::{Request, Response};
use lentilshunt_core::{
    id::RequestId,
    membership::Endpoint,
    verdict::{Reason, Verdict},
};
use lentilshunt_net::{
    Pending,
    call::{Call, Executor, Reply, end_to_end, write_call},
    http::Exchange,
};
use lentilshunt_schema::{
    call::Resolution,
    peer::{Announcement, Phase},
};

use super::Upstream;
use crate::context::Context;

/// Time for which an announcement counts.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1200);

/// Executes attempts on the upstream of this instance.
#[derive(Debug)]
pub struct Local {
    context: Arc<Context>,
    upstream: ArcSwapOption<Upstream>,
    running: AtomicU32,
}

/// Counts a running attempt until it is dropped.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Local {
    /// Creates an executor that has not heard of its upstream.
    #[must_use]
    pub fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            upstream: ArcSwapOption::empty(),
            running: AtomicU32::new(0),
        }
    }

    /// Takes an announcement of the upstream.
    pub fn announce(&self, announcement: &Announcement) {
        let Ok(address) = announcement.address.parse() else {
            return;
        };
        self.upstream.store(Some(Arc::new(Upstream {
            address,
            phase: announcement.phase,
            slots: announcement.slots,
            expires_at: Instant::now() + ANNOUNCEMENT_LIFETIME,
        })));
    }

    async fn run(&self, call: &Call) -> Reply {
        let upstream = match self.admit() {
            Ok(upstream) => upstream,
            Err(reason) => return Reply::refused(reason),
        };
        self.running.fetch_add(1, Ordering::Relaxed);
        let _running = Running(&self.running);
        let Ok(request) = request(call) else {
            return Reply::refused(Reason::BadRequest);
        };
        let exchange = Exchange {
            address: upstream.address,
            deadline: call.deadline,
            limit: usize::try_from(self.context.settings.calls.body_bytes).unwrap_or(usize::MAX),
        };
        match self.context.pool.exchange(exchange, request).await {
            Ok(response) => ran(response),
            Err(error) => Reply::failed(error.verdict(), error.reason()),
        }
    }

    fn admit(&self) -> Result<Arc<Upstream>, Reason> {
        if self.context.stop.is_cancelled() {
            return Err(Reason::Draining);
        }
        let upstream = self.upstream.load_full().ok_or(Reason::NotReady)?;
        if upstream.expires_at < Instant::now() {
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

impl Executor for Local {
    fn execute(&self, _endpoint: Arc<Endpoint>, call: Arc<Call>) -> Pending<'_, Reply> {
        Box::pin(async move { self.run(&call).await })
    }

    fn resolve(
        &self,
        _endpoint: Arc<Endpoint>,
        _request: RequestId,
    ) -> Pending<'_, Option<(Resolution, Option<Reply>)>> {
        Box::pin(async move { None })
    }
}

/// Returns the request as the upstream gets it.
fn request(call: &Call) -> hyper::http::Result<Request<Bytes>> {
    write_call("", call, Instant::now())
}

/// Returns the reply to an attempt that the upstream answered whole.
fn ran(response: Response<Bytes>) -> Reply {
    let (parts, body) = response.into_parts();
    Reply {
        verdict: Verdict::Ran,
        reason: None,
        status: parts.status,
        headers: end_to_end(&parts.headers),
        body,
        room: None,
    }
}
