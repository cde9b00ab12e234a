//! Receives departures from other nodes.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::BoxFuture;
use slog::warn;

use super::{Ledger, Transfer};
use crate::relay::{
    Handler,
    body::{Body, Payload, empty, from_incoming, full, read_prefix, status_response},
};

/// Handler of transfers of departures and of inquiries; other requests go to `fallback`.
#[derive(Debug)]
pub struct Receiver {
    ledger: Arc<Ledger>,
    fallback: Arc<dyn Handler>,
}

impl Receiver {
    /// Creates the handler.
    #[must_use]
    pub fn new(ledger: Arc<Ledger>, fallback: Arc<dyn Handler>) -> Self {
        Self { ledger, fallback }
    }

    async fn receive(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_prefix(from_incoming(request.into_body()), Transfer::MAX_BYTES).await;
        let Ok(Payload::Buffered(bytes)) = body else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        match Transfer::decode(&bytes) {
            Ok(transfer) => {
                self.ledger.receive(transfer);
                Response::new(empty())
            }
            Err(error) => {
                warn!(self.ledger.log(), "departures of another node cannot be decoded";
                    "error" => %error);
                status_response(StatusCode::BAD_REQUEST)
            }
        }
    }
}

impl Receiver {
    /// Responds with what this node knows of the departures of an instance.
    fn respond(&self, instance: &str) -> Response<Body> {
        let Some(transfer) = self.ledger.transfer(instance) else {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        match transfer.encode() {
            Ok(bytes) => Response::new(full(bytes)),
            Err(error) => {
                warn!(self.ledger.log(), "departures cannot be encoded"; "error" => %error);
                status_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

impl Handler for Receiver {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        if request.uri().path() == Transfer::PATH {
            Box::pin(self.receive(request))
        } else if let Some(instance) = Transfer::parse_inquiry(request.uri().path()) {
            let instance = instance.to_owned();
            Box::pin(async move { self.respond(&instance) })
        } else {
            self.fallback.handle(request)
        }
    }
}
