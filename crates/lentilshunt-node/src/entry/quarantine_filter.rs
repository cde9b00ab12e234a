//! Keeps suspected requests away from the local upstream.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use lentilshunt_core::{
    quarantine::{Fingerprint, QuarantineStatus, Suspects, decode},
    verdict::Reason,
};
use lentilshunt_net::{
    BoxFuture,
    call::{Header, Reply, write_reply},
    http::{Handler, empty_response},
};

use super::{
    notifier::{FINGERPRINT_HEADER, SUSPICIONS_PATH},
    now,
};
use crate::{context::Context, peer::path};

/// Maximum size of a report of suspicions, in bytes.
const MAX_SUSPICIONS_BYTES: usize = 64 * 1024;

/// Handler that records the suspicions of other nodes and refuses requests in
/// quarantine and suspects that another node has to run.
///
/// All other requests are passed to the inner handler.
#[derive(Debug)]
pub struct QuarantineFilter<H> {
    context: Arc<Context>,
    suspects: Arc<Suspects>,
    inner: H,
}

impl<H: Handler> QuarantineFilter<H> {
    /// Wraps a handler.
    #[must_use]
    pub fn new(context: Arc<Context>, suspects: Arc<Suspects>, inner: H) -> Self {
        Self {
            context,
            suspects,
            inner,
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let uri_path = request.uri().path();
        if uri_path == SUSPICIONS_PATH {
            return self.record_suspicions(request).await;
        }
        let fingerprint =
            read_fingerprint(request.headers()).filter(|_| uri_path.starts_with(path::CALL));
        let Some(fingerprint) = fingerprint else {
            return self.inner.handle(request).await;
        };
        if !self.admits(fingerprint, request.headers()) {
            return write_reply(Reply::refused(Reason::Quarantined)).map(Full::new);
        }
        let response = self.inner.handle(request).await;
        self.record_outcome(fingerprint, response.headers());
        response
    }

    async fn record_suspicions(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = Limited::new(request.into_body(), MAX_SUSPICIONS_BYTES);
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let now = now();
        for suspicion in decode(&body.to_bytes()) {
            self.suspects.merge(&suspicion, now);
        }
        empty_response(StatusCode::OK)
    }

    /// Returns whether a request may run on the local upstream.
    fn admits(&self, fingerprint: Fingerprint, headers: &HeaderMap) -> bool {
        match self.suspects.status(fingerprint, now()) {
            QuarantineStatus::Clear => true,
            QuarantineStatus::Quarantined => false,
            QuarantineStatus::Suspect => self.is_chosen_for_suspect(fingerprint, headers),
        }
    }

    /// Returns whether this node is the one that runs a suspected request again.
    fn is_chosen_for_suspect(&self, fingerprint: Fingerprint, headers: &HeaderMap) -> bool {
        let service = headers
            .get(Header::SERVICE)
            .and_then(|value| value.to_str().ok());
        let routes = self.context.route_table.load();
        let route = service.and_then(|service| routes.route(service));
        let chosen =
            route.and_then(|route| self.suspects.choose_suspect_endpoint(fingerprint, route));
        chosen.is_some_and(|chosen| chosen.instance == self.context.locality.instance)
    }

    /// Records whether a request ran, or was lost with the upstream.
    fn record_outcome(&self, fingerprint: Fingerprint, headers: &HeaderMap) {
        let now = now();
        let has = |name, value: &str| headers.get(name).is_some_and(|found| found == value);
        if has(Header::REASON, &Reason::UpstreamLost.to_string()) {
            // The node that sent the attempt notifies the others.
            drop(
                self.suspects
                    .record_loss(fingerprint, &self.context.locality.instance, now),
            );
        } else if has(Header::VERDICT, "ran") {
            self.suspects.clear(fingerprint, now);
        }
    }
}

impl<H: Handler> Handler for QuarantineFilter<H> {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.respond(request))
    }
}

fn read_fingerprint(headers: &HeaderMap) -> Option<Fingerprint> {
    let text = headers.get(FINGERPRINT_HEADER)?.to_str().ok()?;
    Fingerprint::from_str_radix(text, 16).ok()
}
