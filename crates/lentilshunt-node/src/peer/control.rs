//! Receives control messages of other nodes.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use lentilshunt_core::{dissemination::Event, encoding};
use tokio::sync::{mpsc, oneshot};

use crate::control::Input;
use lentilshunt_net::http::{empty_response, full_response};

/// Passes a message to the control task and returns its response.
pub(super) async fn handle_message(
    events: &mpsc::Sender<Input>,
    body: &[u8],
) -> Response<Full<Bytes>> {
    let Ok(message) = encoding::decode(body) else {
        metrics::counter!("lentilshunt_refusals_total", "reason" => "control_encoding")
            .increment(1);
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let (responder, response) = oneshot::channel();
    let input = Input {
        event: Event::Message(Box::new(message)),
        responder: Some(responder),
    };
    if events.send(input).await.is_err() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    match response.await {
        Ok(body) => full_response(StatusCode::OK, body),
        Err(_stopped) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}
