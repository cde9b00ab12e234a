//! Handles the requests of other nodes.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Instant};

use hyper::{
    Request, Response, StatusCode,
    body::{Body as _, Incoming},
};
use lentilshunt_core::{
    overload::Notice,
    quarantine::{Suspects, decode, encode},
    verdict::Reason,
};
use lentilshunt_net::BoxFuture;
use tokio::time::timeout_at;

use crate::{quota::Accountant, rollout::Coordinator};

use super::{
    Call, Executor, Reply, Shared,
    body::{Body, Payload, empty, from_incoming, full, read_prefix, status_response},
    cutoff::Cutoff,
    dispatcher::MAX_BUFFERED_RESPONSE_BYTES,
    node_headers::{read_call, read_notice, write_reply},
    outbound::MAX_BUFFERED_REQUEST_BYTES,
    server::{ClientAddress, Handler},
};

/// Path of the request that probes whether a node responds.
pub(super) const PROBE_PATH: &str = "/.lentilshunt/presence";
/// Path of the requests that report suspicions.
pub(super) const SUSPICIONS_PATH: &str = "/.lentilshunt/suspicions";
/// Maximum size of a report of suspicions, in bytes.
pub(super) const MAX_SUSPICIONS_BYTES: usize = 64 * 1024;

/// Handler of the listener for other nodes.
#[derive(Debug)]
pub struct Inbound {
    shared: Arc<Shared>,
    executor: Arc<Executor>,
    suspects: Arc<Suspects>,
    peer_port: u16,
    accountant: Arc<Accountant>,
    coordinator: Arc<Coordinator>,
    fallback: Arc<dyn Handler>,
    cutoff: Cutoff,
}

impl Inbound {
    /// Creates the handler.
    ///
    /// All nodes of a deployment listen for each other on `peer_port`. Requests that
    /// are neither calls, probes nor suspicions go to `fallback`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        executor: Arc<Executor>,
        suspects: Arc<Suspects>,
        peer_port: u16,
        accountant: Arc<Accountant>,
        coordinator: Arc<Coordinator>,
        fallback: Arc<dyn Handler>,
    ) -> Self {
        let cutoff = Cutoff::new(&shared.log);
        Self {
            shared,
            executor,
            suspects,
            peer_port,
            accountant,
            coordinator,
            fallback,
            cutoff,
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        let Some((call, version)) = read_call(&request, &self.shared.header_names.request_id)
        else {
            return self.handle_other(request).await;
        };
        let client = request.extensions().get::<ClientAddress>();
        // All nodes of a deployment listen on the same port.
        let node = client.map(|ClientAddress(client)| SocketAddr::new(client.ip(), self.peer_port));
        self.shared.observe_version(version, node);
        let known = read_notice(request.headers());
        if let Some(known) = &known {
            self.executor.apply_notice(known);
        }
        let lifetime = &self.shared.lifetime;
        let call = Call {
            deadline: lifetime.limit(call.deadline),
            ..call
        };
        let reply = if lifetime.is_refusing_calls() {
            // Not `Draining`, because other nodes would still avoid the endpoint after a restart,
            // while its record is unchanged.
            Reply::refused(Reason::NotReady)
        } else {
            tokio::select! {
                biased;
                reply = self.execute(&call, request.into_body()) => reply,
                () = lifetime.ended() => Reply::unknown(Reason::Deadline),
            }
        };
        let reply = self.limit_response(&call, reply);
        let notice = self.executor.notice();
        // A node that knows of a limit learns that it has ended.
        let is_news =
            |notice: &Notice| notice.rate_limit.is_some() || notice.is_leaving || known.is_some();
        let reply = Reply {
            notice: notice.filter(is_news),
            ..reply
        };
        write_reply(reply, self.executor.free_slots(), self.shared.version())
    }

    async fn execute(&self, call: &Call, body: Incoming) -> Reply {
        match read_body(call, body).await {
            Ok(body) => self.executor.execute_for_node(call, body).await,
            Err(reason) => Reply::refused(reason),
        }
    }

    /// Bounds the time of a long response; the node that has sent the call bounds that of others,
    /// which it buffers.
    ///
    /// That node may read nothing for a while, for example while its instance is suspended.
    fn limit_response(&self, call: &Call, reply: Reply) -> Reply {
        let Some(response) = reply.response else {
            return reply;
        };
        let length = response.body().size_hint().exact();
        let is_short = length.is_some_and(|length| length <= MAX_BUFFERED_RESPONSE_BYTES as u64);
        let response = if is_short {
            response
        } else {
            response.map(|body| self.cutoff.apply(body, call))
        };
        Reply {
            response: Some(response),
            ..reply
        }
    }

    /// Handles probes and suspicions, and passes other requests to the fallback.
    async fn handle_other(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == PROBE_PATH {
            return Response::new(empty());
        }
        if request.uri().path() == SUSPICIONS_PATH {
            return self.merge_suspicions(request).await;
        }
        if request.uri().path() == Accountant::PATH {
            return self.settle_usage(request).await;
        }
        if request.uri().path() == Coordinator::PATH {
            return self.settle_rollout(request).await;
        }
        self.fallback.handle(request).await
    }
}

impl Inbound {
    /// Merges suspicions of another node, and returns all that is known of the same requests.
    async fn merge_suspicions(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_prefix(from_incoming(request.into_body()), MAX_SUSPICIONS_BYTES).await;
        let Ok(Payload::Buffered(bytes)) = body else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let now = Instant::now();
        let reported = decode(&bytes);
        for suspicion in &reported {
            self.suspects.merge(suspicion, now);
        }
        self.shared.suspicions_changed.notify_one();
        let requests: BTreeSet<_> = reported.iter().map(|suspicion| suspicion.request).collect();
        let known = requests
            .into_iter()
            .flat_map(|request| self.suspects.suspicions(request, now));
        Response::new(full(encode(&known.collect::<Vec<_>>())))
    }

    /// Settles the report of a node on the quotas that it has used.
    async fn settle_usage(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_prefix(from_incoming(request.into_body()), Accountant::MAX_BYTES).await;
        let Ok(Payload::Buffered(report)) = body else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        match self.accountant.settle_encoded(&report) {
            Some(reply) => Response::new(full(reply)),
            None => status_response(StatusCode::BAD_REQUEST),
        }
    }

    /// Settles the report of a node on a roll-out; the response is empty if its order is not known.
    async fn settle_rollout(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_prefix(from_incoming(request.into_body()), Coordinator::MAX_BYTES).await;
        let Ok(Payload::Buffered(report)) = body else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let reply = self.coordinator.settle_encoded(&report);
        Response::new(full(reply.unwrap_or_default()))
    }
}

/// Returns the body of a call, read completely unless it is a long one.
///
/// Only then does the node notice while the call waits that its caller has left.
async fn read_body(call: &Call, body: Incoming) -> Result<Body, Reason> {
    let body = from_incoming(body);
    if call.has_unread_body {
        return Ok(body);
    }
    let payload = read_prefix(body, MAX_BUFFERED_REQUEST_BYTES);
    match timeout_at(call.deadline.into(), payload).await {
        Ok(Ok(payload)) => Ok(payload.into_body()),
        Ok(Err(_broken)) => Err(Reason::BadRequest),
        Err(_elapsed) => Err(Reason::Deadline),
    }
}

impl Handler for Inbound {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        Box::pin(self.respond(request))
    }
}
