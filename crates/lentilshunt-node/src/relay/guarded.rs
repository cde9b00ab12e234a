//! Bodies that hold something until they have passed.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};

use super::body::{Body, Error};

/// A body that holds `T` until it has passed or is dropped.
struct Guarded<T> {
    body: Body,
    held: Option<T>,
}

/// Returns a body that holds `held` until it has passed or is dropped.
pub fn hold<T: Send + Unpin + 'static>(body: Body, held: T) -> Body {
    if body.is_end_stream() {
        return body;
    }
    Guarded {
        body,
        held: Some(held),
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
            self.held = None;
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
