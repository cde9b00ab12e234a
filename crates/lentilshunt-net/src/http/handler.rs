//! Interface between a server and the code that handles its requests.

use std::fmt::Debug;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};

use crate::BoxFuture;

/// Handles the requests of a [`Server`](super::Server).
pub trait Handler: Debug + Send + Sync {
    /// Responds to one request.
    ///
    /// The future is dropped when the client closes its connection.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>>;
}

/// Returns a response with a status and a complete body.
#[must_use]
pub fn full_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a status and an empty body.
#[must_use]
pub fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    full_response(status, Bytes::new())
}
