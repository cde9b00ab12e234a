//! Answers the calls and notices of other nodes.

use std::{sync::Arc, time::Instant};

use hyper::{Request, Response, body::Incoming};
use lentilshunt_core::{
    quarantine::{Suspects, decode},
    verdict::Reason,
};
use lentilshunt_net::Pending;
use tokio_util::sync::CancellationToken;

use super::{
    Executor, Reply, Shared,
    body::{Body, Payload, empty, incoming, read},
    head::{read_call, write_reply},
    server::Handler,
};

/// Path to which suspicions are sent.
pub(super) const SUSPICIONS: &str = "/.lentilshunt/suspicions";
/// Largest notice of another node, in bytes.
const NOTICE_BYTES: usize = 64 * 1024;

/// Handler of the listener for other nodes.
#[derive(Debug)]
pub struct Inbound {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    suspects: Arc<Suspects>,
    stop: CancellationToken,
}

impl Inbound {
    /// Creates the handler; calls that arrive after `stop` are refused.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        suspects: Arc<Suspects>,
        stop: CancellationToken,
    ) -> Self {
        Self {
            shared,
            executor,
            suspects,
            stop,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let Some((call, version)) = read_call(&request, &self.shared.dialect.request) else {
            return self.learn(request).await;
        };
        self.shared.learn(version);
        let reply = if self.stop.is_cancelled() {
            Reply::refused(Reason::Draining)
        } else {
            let body = incoming(request.into_body());
            self.executor.execute(&call, body).await
        };
        write_reply(reply, self.executor.room(), self.shared.version())
    }

    /// Takes the suspicions of another node.
    async fn learn(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == SUSPICIONS {
            let body = read(incoming(request.into_body()), NOTICE_BYTES).await;
            if let Ok(Payload::Whole(bytes)) = body {
                let now = Instant::now();
                for suspicion in decode(&bytes) {
                    self.suspects.learn(&suspicion, now);
                }
            }
            return Response::new(empty());
        }
        let refused = Reply::refused(Reason::BadRequest);
        write_reply(refused, self.executor.room(), self.shared.version())
    }
}

impl Handler for Inbound {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Body>> {
        Box::pin(self.answer(request))
    }
}
