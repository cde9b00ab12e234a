//! Exchanges control messages with other nodes.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, Uri};
use lentilshunt_core::dissemination::{Event, Link, REQUEST_OVERHEAD, RESPONSE_OVERHEAD};
use lentilshunt_net::http::{Error, Exchange, Pool};
use lentilshunt_schema::peer::Message;

use crate::peer::path;

/// Longest wait for the answer to a message.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Largest control message, in bytes.
const MESSAGE_LIMIT: usize = 16 * 1024 * 1024;

/// Encodes a message.
pub(super) fn encode(message: &Message) -> Bytes {
    let bytes = rmp_serde::to_vec(message).expect("messages have an encoding");
    Bytes::from(bytes)
}

/// Counts the bytes that this node sends on a link.
pub(super) fn count_bytes(link: Link, bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics::counter!("lentilshunt_control_bytes_total", "link" => link.to_string())
        .increment(bytes);
}

/// Counts an answer that this node sends.
pub(super) fn count_response(link: Link, answer: &Bytes) {
    count_bytes(link, answer.len() + RESPONSE_OVERHEAD);
}

/// Sends a message and returns the answer, if there is one, or that there was no answer in time.
pub(super) async fn exchange(
    pool: Arc<Pool>,
    to: SocketAddr,
    message: Box<Message>,
    link: Link,
) -> Option<Event> {
    let body = encode(&message);
    let deadline = Instant::now() + TIMEOUT;
    let mut answer = attempt(&pool, to, link, deadline, body.clone()).await;
    if matches!(answer, Err(Error::NotSent { .. } | Error::Broken { .. })) {
        // An idle connection may have been closed by a restart; control messages are idempotent.
        metrics::counter!("lentilshunt_retries_total", "reason" => "control_connection")
            .increment(1);
        answer = attempt(&pool, to, link, deadline, body).await;
    }
    match answer {
        Ok(answer) if answer.status().is_success() => {
            let message = rmp_serde::from_slice(answer.body()).ok()?;
            Some(Event::Message(Box::new(message)))
        }
        Ok(_) | Err(_) => {
            metrics::counter!("lentilshunt_control_failures_total", "link" => link.to_string())
                .increment(1);
            Some(Event::Unreachable { to, message })
        }
    }
}

async fn attempt(
    pool: &Pool,
    to: SocketAddr,
    link: Link,
    deadline: Instant,
    body: Bytes,
) -> Result<Response<Bytes>, Error> {
    count_bytes(link, body.len() + REQUEST_OVERHEAD);
    let mut request = Request::new(body);
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path::CONTROL);
    let exchange = Exchange {
        address: to,
        deadline,
        limit: MESSAGE_LIMIT,
    };
    pool.exchange(exchange, request).await
}
