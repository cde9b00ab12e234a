//! Bodies that end with an error after a deadline.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};
use tokio::time::sleep_until;
use tokio_util::task::AbortOnDropHandle;

use super::body::{Body, Error};
use crate::executor::lock;

/// A body that is dropped and ends with an error if it is not complete by a deadline.
struct Expiring {
    /// The body, or `None` once the deadline has passed.
    body: Arc<Mutex<Option<Body>>>,
    expiry: AbortOnDropHandle<()>,
}

/// Returns a body that ends with an error if it is not complete by `deadline`.
///
/// The inner body is dropped then and `on_expiry` is called, also while nobody reads the body: a
/// receiver that does not read would otherwise hold the connection to the sender forever.
pub fn with_deadline(
    body: Body,
    deadline: Instant,
    on_expiry: impl FnOnce() + Send + 'static,
) -> Body {
    if body.is_end_stream() {
        return body;
    }
    let body = Arc::new(Mutex::new(Some(body)));
    let expiring = Arc::clone(&body);
    let expiry = tokio::spawn(async move {
        sleep_until(deadline.into()).await;
        let expired = lock(&expiring).take();
        if expired.is_some_and(|body| !body.is_end_stream()) {
            on_expiry();
        }
    });
    Expiring {
        body,
        expiry: AbortOnDropHandle::new(expiry),
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
        let expired = || Poll::Ready(Some(Err("the body is not complete in time".into())));
        let polled = match &mut *lock(&self.body) {
            Some(body) => Pin::new(body).poll_frame(cx),
            None => return expired(),
        };
        // Wakes the reader at the deadline.
        if polled.is_pending() && Pin::new(&mut self.expiry).poll(cx).is_ready() {
            return expired();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let body = lock(&self.body);
        body.as_ref().is_some_and(hyper::body::Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = lock(&self.body);
        body.as_ref()
            .map(hyper::body::Body::size_hint)
            .unwrap_or_default()
    }
}
