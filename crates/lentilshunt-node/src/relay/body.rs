//! Bodies that pass through a node piece by piece.

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

/// Error of a body that ends early.
pub type Error = Box<dyn std::error::Error + Send + Sync>;
/// A body that is read as it arrives.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Body of a request, as far as it has been read.
#[derive(Debug)]
pub enum Payload {
    /// The whole body, which may be sent again.
    Buffered(Bytes),
    /// A first part and the rest, which can be sent once.
    Streamed(Bytes, Body),
}

/// Returns an empty body.
#[must_use]
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is held whole.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a response with a status and no body.
#[must_use]
pub fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

/// Returns a body of pieces that are still to arrive.
#[must_use]
pub fn from_incoming(body: Incoming) -> Body {
    body.map_err(Into::into).boxed_unsync()
}

/// Reads a body until its end, or until at least `limit` bytes are held.
///
/// # Errors
///
/// Returns the error of the connection when the body ends early.
pub async fn read_prefix(mut body: Body, limit: usize) -> Result<Payload, Error> {
    if body.is_end_stream() {
        return Ok(Payload::Buffered(Bytes::new()));
    }
    let mut read = BytesMut::new();
    while read.len() < limit {
        match body.frame().await.transpose()? {
            Some(frame) => {
                if let Ok(data) = frame.into_data() {
                    read.extend_from_slice(&data);
                }
            }
            None => return Ok(Payload::Buffered(read.freeze())),
        }
    }
    Ok(Payload::Streamed(read.freeze(), body))
}

impl Payload {
    /// Returns the part that has been read.
    #[must_use]
    pub fn buffered(&self) -> &Bytes {
        match self {
            Self::Buffered(bytes) | Self::Streamed(bytes, _) => bytes,
        }
    }

    /// Takes the body for one attempt, or returns none when it was taken and is gone.
    pub fn take_body(payload: &mut Option<Self>) -> Option<Body> {
        match payload.take()? {
            Self::Buffered(bytes) => {
                *payload = Some(Self::Buffered(bytes.clone()));
                Some(full(bytes))
            }
            streamed @ Self::Streamed(..) => Some(streamed.into_body()),
        }
    }

    /// Returns the body, with what has been read and what is still to arrive.
    #[must_use]
    pub fn into_body(self) -> Body {
        match self {
            Self::Buffered(bytes) => full(bytes),
            Self::Streamed(head, rest) => chain(head, rest),
        }
    }
}

/// Returns a body of a first part and the rest that is still to arrive.
fn chain(head: Bytes, rest: Body) -> Body {
    Chain {
        head: Some(head),
        rest,
    }
    .boxed_unsync()
}

/// A first part and the rest that is still to arrive.
struct Chain {
    head: Option<Bytes>,
    rest: Body,
}

impl hyper::body::Body for Chain {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(head) = self.head.take() {
            return Poll::Ready(Some(Ok(Frame::data(head))));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.head.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.head.as_ref().map_or(0, |head| head.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + held);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + held);
        }
        hint
    }
}
