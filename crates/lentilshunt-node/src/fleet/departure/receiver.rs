//! Receives departures from other nodes.

use std::sync::Arc;

use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::BoxFuture;
use slog::warn;

use super::{Ledger, Transfer};
use crate::relay::{
    Handler,
    body::{Body, Payload, empty, from_incoming, read_prefix, status_response},
};

/// Handler of transfers of departures; other requests go to `fallback`.
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

impl Handler for Receiver {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Body>> {
        if request.uri().path() == Transfer::PATH {
            Box::pin(self.receive(request))
        } else {
            self.fallback.handle(request)
        }
    }
}
