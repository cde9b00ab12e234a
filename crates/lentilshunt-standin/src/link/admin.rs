//! Sets forwards and directions over HTTP.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming};
use lentilshunt_net::{
    BoxFuture,
    http::{Handler, empty_response},
};
use lentilshunt_schema::platform::{Direction, Links};

use super::Topology;

/// Handler of the admin listener of the link stand-in.
///
/// It takes [`Links`] at `/links` and a [`Direction`] at `/direction`.
#[derive(Debug, Default)]
pub struct Admin {
    topology: Arc<Topology>,
}

impl Admin {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let done = match parts.uri.path() {
            "/links" => self.links(&body),
            "/direction" => self.direction(&body),
            _ => return empty_response(StatusCode::NOT_FOUND),
        };
        empty_response(done.map_or(StatusCode::BAD_REQUEST, |()| StatusCode::OK))
    }

    fn links(&self, body: &[u8]) -> Option<()> {
        let links: Links = rmp_serde::from_slice(body).ok()?;
        self.topology.add(&links)
    }

    fn direction(&self, body: &[u8]) -> Option<()> {
        let direction: Direction = rmp_serde::from_slice(body).ok()?;
        self.topology.set(&direction);
        Some(())
    }
}

impl Handler for Admin {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.answer(request))
    }
}
