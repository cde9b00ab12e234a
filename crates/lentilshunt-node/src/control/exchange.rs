//! Exchanges control messages with other nodes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, Uri};
use lentilshunt_core::{
    dissemination::{Event, LinkClass, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES},
    encoding,
};
use lentilshunt_net::http::{Error, Exchange, Pool};
use lentilshunt_schema::peer::Message;

use crate::peer::path;

/// Maximum time to wait for the response to a message.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a control message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Encodes a message.
pub(super) fn encode(message: &Message) -> Bytes {
    let bytes = rmp_serde::to_vec(message).expect("messages can be encoded");
    Bytes::from(bytes)
}

/// Counts bytes of control traffic on a class of links.
pub(super) fn count_bytes(link_class: LinkClass, bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics::counter!("lentilshunt_control_bytes_total", "link" => link_class.to_string())
        .increment(bytes);
}

/// Counts the bytes of a response that this node sends.
pub(super) fn count_response(link_class: LinkClass, body: &Bytes) {
    count_bytes(link_class, body.len() + RESPONSE_OVERHEAD_BYTES);
}

/// Sends a message and returns the response as an event.
///
/// Returns [`Event::Undelivered`] when the exchange fails or the status is not a
/// success, and none for a response that is empty or malformed.
pub(super) async fn exchange(
    pool: Arc<Pool>,
    to: SocketAddr,
    message: Box<Message>,
    link_class: LinkClass,
) -> Option<Event> {
    let body = encode(&message);
    let deadline = Instant::now() + EXCHANGE_TIMEOUT;
    let mut response = attempt(&pool, to, link_class, deadline, body.clone()).await;
    if matches!(
        response,
        Err(Error::NotSent { .. } | Error::ConnectionLost { .. })
    ) {
        // A restart of the other node may have closed an idle connection. Sending
        // again is safe, as control messages are idempotent.
        metrics::counter!("lentilshunt_retries_total", "reason" => "control_connection")
            .increment(1);
        response = attempt(&pool, to, link_class, deadline, body).await;
    }
    match response {
        Ok(response) if response.status().is_success() => {
            let message = encoding::decode(response.body()).ok()?;
            Some(Event::Message(Box::new(message)))
        }
        Ok(_) | Err(_) => {
            metrics::counter!("lentilshunt_control_failures_total", "link" => link_class.to_string())
                .increment(1);
            Some(Event::Undelivered { to, message })
        }
    }
}

async fn attempt(
    pool: &Pool,
    to: SocketAddr,
    link_class: LinkClass,
    deadline: Instant,
    body: Bytes,
) -> Result<Response<Bytes>, Error> {
    count_bytes(link_class, body.len() + REQUEST_OVERHEAD_BYTES);
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path::CONTROL);
    let exchange = Exchange {
        address: to,
        deadline,
        max_body_bytes: MAX_MESSAGE_BYTES,
    };
    pool.exchange(exchange, request).await
}
