//! Bodies that keep a guard until they are complete.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};

use super::body::{Body, Error};

/// A body that keeps `guard` until it ends, fails or is dropped.
struct Guarded<T> {
    body: Body,
    guard: Option<T>,
}

/// Returns a body that keeps `guard` until it ends, fails or is dropped.
///
/// The guard of a body without content is dropped at once.
pub fn with_guard<T: Send + Unpin + 'static>(body: Body, guard: T) -> Body {
    if body.is_end_stream() {
        return body;
    }
    Guarded {
        body,
        guard: Some(guard),
    }
    .boxed_unsync()
}

impl<T: Unpin> hyper::body::Body for Guarded<T> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.guard = None;
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
