//! Futures whose panic is an error.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    pin::Pin,
    task::{Context, Poll},
};

use lentilshunt_net::BoxFuture;

/// A future that returns `None` if the inner one panics, which is then dropped.
///
/// The panic hook writes the message of the panic.
pub struct Caught<'a, T>(Option<BoxFuture<'a, T>>);

impl<'a, T> Caught<'a, T> {
    /// Wraps a future, whose state must be sound after a panic.
    pub fn new(future: BoxFuture<'a, T>) -> Self {
        Self(Some(future))
    }
}

impl<T> Future for Caught<'_, T> {
    type Output = Option<T>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        let Some(future) = &mut self.0 else {
            return Poll::Ready(None);
        };
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx)));
        match polled {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(output)) => Poll::Ready(Some(output)),
            Err(_panic) => {
                self.0 = None;
                Poll::Ready(None)
            }
        }
    }
}
