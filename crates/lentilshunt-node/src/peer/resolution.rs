//! Sends resolution requests to other nodes.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use hyper::{Method, Request, Uri};
use lentilshunt_net::{
    call::{Reply, read_reply},
    http::{Exchange, Pool},
};
use lentilshunt_schema::call::{Resolution, Resolve};

use super::path;

/// Sends a resolution request over a new connection and returns the resolution.
///
/// A reply is included only with [`Resolution::Answered`].
///
/// Returns none when the exchange fails or the response has no valid resolution.
pub async fn resolve(
    pool: &Pool,
    address: SocketAddr,
    resolve: &Resolve,
    deadline: Instant,
    max_body_bytes: usize,
) -> Option<(Resolution, Option<Reply>)> {
    let body = rmp_serde::to_vec_named(resolve).ok()?;
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path::RESOLVE);
    let exchange = Exchange {
        address,
        deadline,
        max_body_bytes,
    };
    let response = pool.exchange_fresh(exchange, request).await.ok()?;
    let resolution = response.headers().get(path::RESOLUTION)?.to_str().ok()?;
    let resolution: Resolution = resolution.parse().ok()?;
    Some((resolution, read_reply(response)))
}
