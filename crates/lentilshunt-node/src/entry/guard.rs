//! Keeps requests under suspicion from the own upstream.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use lentilshunt_core::{
    quarantine::{Admittance, Fingerprint, Suspects, decode},
    verdict::Reason,
};
use lentilshunt_net::{
    Pending,
    call::{Name, Reply, write_reply},
    http::{Handler, empty},
};

use super::{
    notifier::{FINGERPRINT, PATH},
    now,
};
use crate::{context::Context, peer::path};

/// Largest notice, in bytes.
const NOTICE_LIMIT: usize = 64 * 1024;

/// Handler that takes notices of other nodes and refuses what they warn of.
///
/// Everything else is passed to the handler behind it.
#[derive(Debug)]
pub struct Guard<H> {
    context: Arc<Context>,
    suspects: Arc<Suspects>,
    inner: H,
}

impl<H: Handler> Guard<H> {
    /// Creates a guard in front of a handler.
    #[must_use]
    pub fn new(context: Arc<Context>, suspects: Arc<Suspects>, inner: H) -> Self {
        Self {
            context,
            suspects,
            inner,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let called = request.uri().path();
        if called == PATH {
            return self.learn(request).await;
        }
        let fingerprint = fingerprint(request.headers()).filter(|_| called.starts_with(path::CALL));
        let Some(fingerprint) = fingerprint else {
            return self.inner.handle(request).await;
        };
        if !self.admits(fingerprint, request.headers()) {
            return write_reply(Reply::refused(Reason::Quarantined)).map(Full::new);
        }
        let response = self.inner.handle(request).await;
        self.observe(fingerprint, response.headers());
        response
    }

    async fn learn(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = Limited::new(request.into_body(), NOTICE_LIMIT);
        let Ok(body) = body.collect().await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        let now = now();
        for suspicion in decode(&body.to_bytes()) {
            self.suspects.learn(&suspicion, now);
        }
        empty(StatusCode::OK)
    }

    /// Returns whether a request may run on the own upstream.
    fn admits(&self, request: Fingerprint, headers: &HeaderMap) -> bool {
        match self.suspects.admittance(request, now()) {
            Admittance::Free => true,
            Admittance::Quarantined => false,
            Admittance::Suspect => self.is_last_resort(request, headers),
        }
    }

    fn is_last_resort(&self, request: Fingerprint, headers: &HeaderMap) -> bool {
        let service = headers
            .get(Name::SERVICE)
            .and_then(|name| name.to_str().ok());
        let routes = self.context.routes.load();
        let route = service.and_then(|service| routes.route(service));
        let chosen = route.and_then(|route| self.suspects.last_resort(request, route));
        chosen.is_some_and(|chosen| chosen.instance == self.context.place.instance)
    }

    /// Notes whether a request was answered, or lost with the upstream.
    fn observe(&self, request: Fingerprint, headers: &HeaderMap) {
        let now = now();
        let is = |name, value: &str| headers.get(name).is_some_and(|found| found == value);
        if is(Name::REASON, &Reason::UpstreamLost.to_string()) {
            // The node that sent the attempt tells the others.
            drop(
                self.suspects
                    .lose(request, &self.context.place.instance, now),
            );
        } else if is(Name::VERDICT, "ran") {
            self.suspects.clear(request, now);
        }
    }
}

impl<H: Handler> Handler for Guard<H> {
    fn handle(&self, request: Request<Incoming>) -> Pending<'_, Response<Full<Bytes>>> {
        Box::pin(self.answer(request))
    }
}

fn fingerprint(headers: &HeaderMap) -> Option<Fingerprint> {
    let text = headers.get(FINGERPRINT)?.to_str().ok()?;
    Fingerprint::from_str_radix(text, 16).ok()
}
