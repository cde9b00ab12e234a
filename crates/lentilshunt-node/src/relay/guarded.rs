//! Bodies that keep a guard until they are complete.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};

use super::body::{Body, Error};

/// What a body keeps until it ends, and is dropped with it if it is dropped before.
pub(super) trait Guard: Send + Unpin + 'static {
    /// Ends the guard of a body that is complete, or that has failed.
    fn end(self, is_complete: bool);
}

/// A body that keeps `guard` until it ends, fails or is dropped.
struct Guarded<T> {
    body: Body,
    guard: Option<T>,
}

/// Returns a body that keeps `guard` until it ends, fails or is dropped.
///
/// The guard of a body without content ends at once.
pub(super) fn with_guard(body: Body, guard: impl Guard) -> Body {
    if body.is_end_stream() {
        guard.end(true);
        return body;
    }
    Guarded {
        body,
        guard: Some(guard),
    }
    .boxed_unsync()
}

impl<T: Guard> hyper::body::Body for Guarded<T> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let is_complete = match &polled {
            Poll::Ready(Some(Err(_broken))) => false,
            Poll::Ready(None) => true,
            // A body is not polled again after its last frame.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => true,
            Poll::Ready(Some(Ok(_))) | Poll::Pending => return polled,
        };
        if let Some(guard) = self.guard.take() {
            guard.end(is_complete);
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
