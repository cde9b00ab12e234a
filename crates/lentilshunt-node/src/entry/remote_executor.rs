//! Executes attempts on other nodes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_core::{membership::Endpoint, quarantine::fingerprint, verdict::Reason};
use lentilshunt_net::{
    BoxFuture,
    call::{Call, Executor, Reply, read_reply, remaining_ms, write_attempt},
    http::Exchange,
};
use lentilshunt_schema::call::{Resolution, Resolve};

use super::notifier::FINGERPRINT_HEADER;
use crate::{
    context::Context,
    peer::{path, resolution},
};

/// Time limit for the response to a resolution request.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends attempts to other nodes over pooled connections.
#[derive(Debug)]
pub struct RemoteExecutor {
    context: Arc<Context>,
}

impl RemoteExecutor {
    /// Creates an executor that uses the connection pool of `context`.
    #[must_use]
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Returns the maximum size of a response body, in bytes.
    fn max_body_bytes(&self) -> usize {
        usize::try_from(self.context.settings.calls.body_bytes).unwrap_or(usize::MAX)
    }

    async fn send(&self, endpoint: &Endpoint, call: &Call) -> Reply {
        let incarnation = endpoint.incarnation;
        let now = Instant::now();
        let Ok(mut request) = write_attempt(path::CALL, call, incarnation, now) else {
            return Reply::refused(Reason::BadRequest);
        };
        let method = call.method.as_str();
        let fingerprint = fingerprint(&call.service, method, &call.path, &call.body);
        if let Ok(value) = format!("{fingerprint:x}").parse() {
            request.headers_mut().insert(FINGERPRINT_HEADER, value);
        }
        let exchange = Exchange {
            address: endpoint.address,
            deadline: call.deadline,
            max_body_bytes: self.max_body_bytes(),
        };
        match self.context.pool.exchange(exchange, request).await {
            Ok(response) => {
                read_reply(response).unwrap_or_else(|| Reply::unknown(Reason::BadAnswer))
            }
            Err(error) => Reply::failed(error.verdict(), error.reason()),
        }
    }

    async fn request_resolution(
        &self,
        endpoint: &Endpoint,
        call: &Call,
    ) -> Option<(Resolution, Option<Reply>)> {
        let resolve = Resolve {
            request: call.request.clone(),
            incarnation: endpoint.incarnation,
            remaining_ms: remaining_ms(call.deadline, Instant::now()),
            // The ledger has no entries for idempotent requests, so the resolution
            // request only checks whether the node responds.
            bar: !call.idempotent,
        };
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        let pool = &self.context.pool;
        resolution::resolve(
            pool,
            endpoint.address,
            &resolve,
            deadline,
            self.max_body_bytes(),
        )
        .await
    }
}

impl Executor for RemoteExecutor {
    fn execute(&self, endpoint: Arc<Endpoint>, call: Arc<Call>) -> BoxFuture<'_, Reply> {
        Box::pin(async move { self.send(&endpoint, &call).await })
    }

    fn resolve(
        &self,
        endpoint: Arc<Endpoint>,
        call: Arc<Call>,
    ) -> BoxFuture<'_, Option<(Resolution, Option<Reply>)>> {
        Box::pin(async move { self.request_resolution(&endpoint, &call).await })
    }
}
