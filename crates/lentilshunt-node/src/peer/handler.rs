//! Handler of requests of other nodes, of the local upstream and of operators.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Instant, SystemTime},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_core::{
    dissemination::Event,
    encoding,
    id::Incarnation,
    membership::{Endpoint, Phase},
    verdict::Reason,
};
use lentilshunt_net::{
    BoxFuture,
    call::{Attempt, Executor, Reply, deadline, read_attempt, write_reply},
    http::{Handler, empty_response},
};
use lentilshunt_schema::{
    call::{Resolution, Resolve},
    peer::Announcement,
};
use tokio::sync::mpsc;

use super::{control::handle_message, path};
use crate::{
    admin::{self, OPERATE_PATH},
    context::Context,
    control::Input,
    executor::{LocalExecutor, into_schema},
};

/// Number of bytes by which the body of a request may exceed the maximum body of a call.
const BODY_MARGIN_BYTES: usize = 64 * 1024;

/// Handler of the listener for other nodes, the local upstream and forwarded operator requests.
#[derive(Debug)]
pub struct Inbound {
    context: Arc<Context>,
    local: Arc<LocalExecutor>,
    events: mpsc::Sender<Input>,
}

impl Inbound {
    /// Creates the handler.
    #[must_use]
    pub fn new(
        context: Arc<Context>,
        local: Arc<LocalExecutor>,
        events: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            context,
            local,
            events,
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let limit = usize::try_from(self.context.settings.calls.body_bytes).unwrap_or(usize::MAX);
        let Ok(body) = Limited::new(body, limit.saturating_add(BODY_MARGIN_BYTES))
            .collect()
            .await
        else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let request = Request::from_parts(parts, body.to_bytes());
        match request.uri().path() {
            path::ANNOUNCE => self.handle_announcement(request.body()).await,
            path::CONTROL => handle_message(&self.events, request.body()).await,
            path::RESOLVE => self.handle_resolve(request.body()),
            call if call.starts_with(path::CALL) => self.handle_call(&request).await,
            other => match other.strip_prefix(OPERATE_PATH) {
                Some(suffix) => admin::respond(&self.context, suffix),
                None => empty_response(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn handle_announcement(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(announcement) = encoding::decode::<Announcement>(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        if announcement.instance != self.context.locality.instance {
            return empty_response(StatusCode::FORBIDDEN);
        }
        self.local.apply_announcement(&announcement);
        drop(
            self.events
                .send(Event::Announced(announcement).into())
                .await,
        );
        empty_response(StatusCode::OK)
    }

    async fn handle_call(&self, request: &Request<Bytes>) -> Response<Full<Bytes>> {
        let reply = match read_attempt(path::CALL, request, Instant::now()) {
            Some(attempt) => self.execute(attempt).await,
            None => Reply::refused(Reason::BadRequest),
        };
        write_reply(reply).map(Full::new)
    }

    async fn execute(&self, attempt: Attempt) -> Reply {
        if attempt.is_past_arrival_limit(SystemTime::now()) {
            return Reply::refused(Reason::Deadline);
        }
        let endpoint = self.local_endpoint(attempt.incarnation);
        self.local.execute(endpoint, Arc::new(attempt.call)).await
    }

    fn resolve(&self, resolve: &Resolve) -> Option<(Resolution, Option<Reply>)> {
        let Resolve {
            request,
            incarnation,
            remaining_ms,
            bar,
        } = resolve;
        let resolution = if *bar {
            let deadline = deadline(*remaining_ms, Instant::now())?;
            self.local.resolve(request, *incarnation, deadline)
        } else {
            self.local.look_up(request, *incarnation)
        };
        Some(into_schema(resolution))
    }

    fn handle_resolve(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(resolve) = encoding::decode::<Resolve>(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let Some((resolution, reply)) = self.resolve(&resolve) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let mut response = match reply {
            Some(reply) => write_reply(reply).map(Full::new),
            None => empty_response(StatusCode::OK),
        };
        let value = resolution.to_string();
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(path::RESOLUTION, value);
        }
        response
    }

    /// Returns an endpoint for the local node, of which only the incarnation is used.
    fn local_endpoint(&self, incarnation: Incarnation) -> Arc<Endpoint> {
        let settings = &self.context.settings;
        let address: SocketAddr = settings
            .listen
            .peers
            .parse()
            .expect("the peer address is validated at startup");
        let locality = &self.context.locality;
        Arc::new(Endpoint {
            instance: locality.instance.clone(),
            address,
            region: locality.region.clone(),
            domain: locality.domain.clone(),
            incarnation,
            service: String::new(),
            version: String::new(),
            phase: Phase::Ready,
            slots: 0,
            free_slots: 0,
        })
    }
}

impl Handler for Inbound {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.respond(request))
    }
}
