//! Answers the calls and notices of other nodes.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use hyper::{Request, Response, body::Incoming};
use lentilshunt_core::{
    quarantine::{Suspects, decode},
    verdict::Reason,
};
use lentilshunt_net::Pending;
use tokio_util::sync::CancellationToken;

use super::{
    Executor, Reply, Shared,
    body::{Body, Payload, empty, from_incoming, read_prefix},
    codec::{read_call, write_reply},
    server::{ClientAddress, Handler},
};

/// Path at which a node is asked whether it answers at all.
pub(super) const PRESENCE: &str = "/.lentilshunt/presence";
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
    port: u16,
    feeds: Arc<dyn Handler>,
    closing: CancellationToken,
}

impl Inbound {
    /// Creates the handler; calls are refused once `closing` is cancelled.
    ///
    /// `port` is the one at which all nodes listen for each other. What is
    /// neither a call nor known here is answered by `feeds`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        suspects: Arc<Suspects>,
        port: u16,
        feeds: Arc<dyn Handler>,
        closing: CancellationToken,
    ) -> Self {
        Self {
            shared,
            executor,
            suspects,
            port,
            feeds,
            closing,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let Some((call, version)) = read_call(&request, &self.shared.header_names.request_id)
        else {
            return self.control(request).await;
        };
        let client = request.extensions().get::<ClientAddress>();
        // Every node of a deployment listens on the same port.
        let node = client.map(|ClientAddress(from)| SocketAddr::new(from.ip(), self.port));
        self.shared.observe_version(version, node);
        let reply = if self.closing.is_cancelled() {
            // The node comes back sooner than its record changes, so it is not draining.
            Reply::refused(Reason::NotReady)
        } else {
            let body = from_incoming(request.into_body());
            self.executor.execute(&call, body).await
        };
        write_reply(reply, self.executor.free_slots(), self.shared.version())
    }

    /// Takes the suspicions of another node, or tells it that this one answers.
    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == PRESENCE {
            return Response::new(empty());
        }
        if request.uri().path() == SUSPICIONS {
            let body = read_prefix(from_incoming(request.into_body()), NOTICE_BYTES).await;
            if let Ok(Payload::Buffered(bytes)) = body {
                let now = Instant::now();
                for suspicion in decode(&bytes) {
                    self.suspects.learn(&suspicion, now);
                }
            }
            return Response::new(empty());
        }
        self.feeds.handle(request).await
    }
}

impl Handler for Inbound {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Body>> {
        Box::pin(self.answer(request))
    }
}
