//! Streaming request and response bodies.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body as _, Frame, Incoming, SizeHint},
};

/// Error of a body that ended before it was complete.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// A boxed streaming body.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// A request body, buffered up to a limit.
#[derive(Debug)]
pub enum Payload {
    /// The complete body.
    Buffered(Bytes),
    /// A buffered prefix and the unread rest.
    Streamed(Bytes, Body),
}

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body with known content.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a status and an empty body.
#[must_use]
pub fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Converts a body that hyper receives.
#[must_use]
pub fn from_incoming(body: Incoming) -> Body {
    body.map_err(Into::into).boxed_unsync()
}

/// Buffers a body until its end, or until at least `limit` bytes are buffered.
///
/// # Errors
///
/// Returns the connection error when the body ends early.
pub async fn read_prefix(mut body: Body, limit: usize) -> Result<Payload, Error> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let mut buffer = BytesMut::new();
    while buffer.len() < limit {
        match body.frame().await.transpose()? {
            Some(frame) => {
                if let Ok(data) = frame.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
            None => return Ok(Payload::Buffered(buffer.freeze())),
        }
    }
    Ok(Payload::Streamed(buffer.freeze(), body))
}

impl Payload {
    /// Returns the bytes that are buffered.
    #[must_use]
    pub fn buffered(&self) -> &Bytes {
        match self {
            Self::Buffered(bytes) | Self::Streamed(bytes, _) => bytes,
        }
    }

    /// Returns the complete body: the buffered bytes followed by the unread rest.
    #[must_use]
    pub fn into_body(self) -> Body {
        match self {
            Self::Buffered(bytes) => full(bytes),
            Self::Streamed(prefix, rest) => chain(prefix, rest),
        }
    }
}

/// Returns a body that yields `prefix` and then `rest`.
fn chain(prefix: Bytes, rest: Body) -> Body {
    Chain {
        prefix: Some(prefix),
        rest,
    }
    .boxed_unsync()
}

/// A body that yields a buffered prefix before the remaining frames.
struct Chain {
    prefix: Option<Bytes>,
    rest: Body,
}

impl hyper::body::Body for Chain {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.prefix.as_ref().map_or(0, |prefix| prefix.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + buffered);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}
