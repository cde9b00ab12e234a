//! Bodies that end with an error after a deadline.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};
use tokio::time::{Sleep, sleep_until};

use super::body::{Body, Error};

/// A body that ends with an error if it is not complete by the deadline.
struct Expiring {
    body: Body,
    deadline: Pin<Box<Sleep>>,
    has_begun: bool,
}

/// Returns a body that ends with an error if it is not complete by `deadline`.
///
/// Its first frame is passed on at any time, so that a response that is ready is delivered.
pub fn with_deadline(body: Body, deadline: Instant) -> Body {
    if body.is_end_stream() {
        return body;
    }
    Expiring {
        body,
        deadline: Box::pin(sleep_until(deadline.into())),
        has_begun: false,
    }
    .boxed_unsync()
}

impl hyper::body::Body for Expiring {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.has_begun && self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err("the caller no longer waits for the body".into())));
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_ready() {
            self.has_begun = true;
        } else if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err("the body did not begin in time".into())));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
