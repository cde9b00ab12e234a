//! Request bodies that are lent to one attempt after another.
//!
//! A long body cannot be sent twice. An attempt gets it only once it has been admitted, so that a
//! refusal leaves it for the next attempt, and does not load the links with a body in vain.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, Weak},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};
use tokio::sync::watch;

use super::body::{Body, Error, Payload, full};
use crate::executor::lock;

/// A request body that can be lent to attempts.
#[derive(Debug)]
pub(super) enum Source {
    /// A body that every attempt can have.
    Buffered(Bytes),
    /// A body that the first admitted attempt takes.
    Streamed(Arc<Mutex<Option<Body>>>),
}

/// Lets an attempt send its body; the body fails if this is dropped before.
#[derive(Debug)]
pub(super) struct Admission(watch::Sender<bool>);

/// The admission of a request, to be granted when its receiver asks to continue.
#[derive(Clone, Debug)]
pub(super) struct OnContinue(pub(super) Weak<Admission>);

impl From<Payload> for Source {
    fn from(payload: Payload) -> Self {
        match payload {
            Payload::Buffered(bytes) => Self::Buffered(bytes),
            streamed @ Payload::Streamed(..) => {
                Self::Streamed(Arc::new(Mutex::new(Some(streamed.into_body()))))
            }
        }
    }
}

impl Source {
    /// Returns the body for one attempt, and its admission if it needs one.
    ///
    /// Returns `None` if an attempt has taken the body.
    pub(super) fn lend(&self) -> Option<(Body, Option<Arc<Admission>>)> {
        let content = match self {
            Self::Buffered(bytes) => return Some((full(bytes.clone()), None)),
            Self::Streamed(content) => content,
        };
        let size_hint = lock(content).as_ref()?.size_hint();
        let admission = Arc::new(Admission(watch::Sender::new(false)));
        let mut granted = admission.0.subscribe();
        let content = Arc::clone(content);
        let taking = async move {
            granted.wait_for(|granted| *granted).await.ok()?;
            lock(&content).take()
        };
        let body = Lent {
            state: State::Taking(Box::pin(taking)),
            size_hint,
        };
        Some((body.boxed_unsync(), Some(admission)))
    }

    /// Returns whether another attempt can have the body.
    pub(super) fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(content) => lock(content).is_some(),
        }
    }
}

impl Admission {
    /// Lets the attempt send its body.
    pub(super) fn grant(&self) {
        self.0.send_replace(true);
    }
}

impl OnContinue {
    /// Lets the attempt send its body, if it still lasts.
    pub(super) fn grant(&self) {
        if let Some(admission) = self.0.upgrade() {
            admission.grant();
        }
    }
}

/// A body that begins once its attempt has been admitted.
struct Lent {
    state: State,
    size_hint: SizeHint,
}

enum State {
    /// Waiting for the admission.
    Taking(Pin<Box<dyn Future<Output = Option<Body>> + Send>>),
    /// Sending the body.
    Taken(Body),
}

impl hyper::body::Body for Lent {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let State::Taking(taking) = &mut self.state {
            match ready!(taking.as_mut().poll(cx)) {
                Some(body) => self.state = State::Taken(body),
                None => return Poll::Ready(Some(Err("the attempt was not admitted".into()))),
            }
        }
        match &mut self.state {
            State::Taken(body) => Pin::new(body).poll_frame(cx),
            State::Taking(_) => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.state {
            State::Taking(_) => false,
            State::Taken(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Taking(_) => self.size_hint,
            State::Taken(body) => body.size_hint(),
        }
    }
}
