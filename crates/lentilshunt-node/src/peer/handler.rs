//! Answers other nodes and the own upstream.

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
    id::Incarnation,
    membership::{Endpoint, Phase},
    verdict::Reason,
};
use lentilshunt_net::{
    Pending,
    call::{Attempt, Executor, Reply, deadline, read_attempt, write_reply},
    http::{Handler, empty},
};
use lentilshunt_schema::{
    call::{Resolution, Resolve},
    peer::Announcement,
};
use tokio::sync::mpsc;

use super::{control::control, path};
use crate::{
    admin::{self, OPERATE},
    context::Context,
    control::Input,
    executor::{LocalExecutor, into_schema},
};

/// Bytes that the head of a call may add to its body.
const HEAD_BYTES: usize = 64 * 1024;

/// Handler of the listener for peers.
#[derive(Debug)]
pub struct Peer {
    context: Arc<Context>,
    local: Arc<LocalExecutor>,
    events: mpsc::Sender<Input>,
}

impl Peer {
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

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let limit = usize::try_from(self.context.settings.calls.body_bytes).unwrap_or(usize::MAX);
        let Ok(body) = Limited::new(body, limit.saturating_add(HEAD_BYTES))
            .collect()
            .await
        else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let request = Request::from_parts(parts, body.to_bytes());
        match request.uri().path() {
            path::ANNOUNCE => self.announce(request.body()).await,
            path::CONTROL => control(&self.events, request.body()).await,
            path::RESOLVE => self.resolve(request.body()),
            called if called.starts_with(path::CALL) => self.call(&request).await,
            other => match other.strip_prefix(OPERATE) {
                Some(question) => admin::answer(&self.context, question),
                None => empty(StatusCode::NOT_FOUND),
            },
        }
    }

    async fn announce(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(announcement) = rmp_serde::from_slice::<Announcement>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if announcement.instance != self.context.place.instance {
            return empty(StatusCode::FORBIDDEN);
        }
        self.local.announce(&announcement);
        drop(
            self.events
                .send(Event::Announced(announcement).into())
                .await,
        );
        empty(StatusCode::OK)
    }

    async fn call(&self, request: &Request<Bytes>) -> Response<Full<Bytes>> {
        let reply = match read_attempt(path::CALL, request, Instant::now()) {
            Some(attempt) => self.execute(attempt).await,
            None => Reply::refused(Reason::BadRequest),
        };
        write_reply(reply).map(Full::new)
    }

    async fn execute(&self, attempt: Attempt) -> Reply {
        if attempt.is_late(SystemTime::now()) {
            return Reply::refused(Reason::Deadline);
        }
        let endpoint = self.endpoint(attempt.incarnation);
        self.local.execute(endpoint, Arc::new(attempt.call)).await
    }

    fn settle(&self, question: &Resolve) -> Option<(Resolution, Option<Reply>)> {
        let Resolve {
            request,
            incarnation,
            remaining_ms,
            bar,
        } = question;
        let resolution = if *bar {
            let deadline = deadline(*remaining_ms, Instant::now())?;
            self.local.resolve(request, *incarnation, deadline)
        } else {
            self.local.look_up(request, *incarnation)
        };
        Some(into_schema(resolution))
    }

    fn resolve(&self, body: &[u8]) -> Response<Full<Bytes>> {
        let Ok(resolve) = rmp_serde::from_slice::<Resolve>(body) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let Some((resolution, reply)) = self.settle(&resolve) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let mut response = match reply {
            Some(reply) => write_reply(reply).map(Full::new),
            None => empty(StatusCode::OK),
        };
        let value = resolution.to_string();
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(path::RESOLUTION, value);
        }
        response
    }

    /// Returns an incarnation of the own endpoint, as the executor's border wants it.
    fn endpoint(&self, incarnation: Incarnation) -> Arc<Endpoint> {
        let settings = &self.context.settings;
        let address: SocketAddr = settings
            .listen
            .peers
            .parse()
            .expect("the settings are checked");
        let place = &self.context.place;
        Arc::new(Endpoint {
            instance: place.instance.clone(),
            address,
            region: place.region.clone(),
            domain: place.domain.clone(),
            incarnation,
            service: String::new(),
            phase: Phase::Ready,
            slots: 0,
            room: 0,
        })
    }
}

impl Handler for Peer {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Full<Bytes>>> {
        Box::pin(self.answer(request))
    }
}
