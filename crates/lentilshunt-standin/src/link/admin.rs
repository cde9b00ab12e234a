//! HTTP handler that configures forwards and directions.

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
/// It accepts [`Links`] at `/links` and a [`Direction`] at `/direction`.
#[derive(Debug, Default)]
pub struct Admin {
    topology: Arc<Topology>,
}

impl Admin {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        let result = match parts.uri.path() {
            "/links" => self.add_links(&body),
            "/direction" => self.set_direction(&body),
            _ => return empty_response(StatusCode::NOT_FOUND),
        };
        empty_response(result.map_or(StatusCode::BAD_REQUEST, |()| StatusCode::OK))
    }

    fn add_links(&self, body: &[u8]) -> Option<()> {
        let links: Links = rmp_serde::from_slice(body).ok()?;
        self.topology.add_links(&links)
    }

    fn set_direction(&self, body: &[u8]) -> Option<()> {
        let direction: Direction = rmp_serde::from_slice(body).ok()?;
        self.topology.set_direction(&direction);
        Some(())
    }
}

impl Handler for Admin {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        Box::pin(self.respond(request))
    }
}
