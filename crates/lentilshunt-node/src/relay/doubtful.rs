//! Attempts whose node does not respond.

use std::{
    fmt::{Debug, Formatter, Result},
    future::poll_fn,
    pin::Pin,
    task::{Context, Poll},
};

use lentilshunt_core::verdict::Verdict;

use super::Reply;

/// An attempt in flight.
pub(super) type Attempt<'a> = Pin<Box<dyn Future<Output = Reply> + Send + 'a>>;

/// Attempts of one call whose node does not respond, and whose response is still accepted.
///
/// A probe cannot tell a node that is gone from one whose link is full, so that an attempt is given
/// up only for a response or at the end of the call.
#[derive(Default)]
pub(super) struct Doubtful<'a> {
    attempts: Vec<Attempt<'a>>,
    has_unproven: bool,
}

impl<'a> Doubtful<'a> {
    /// Adds an attempt; `is_proven` tells whether a probe over an open connection got no response.
    pub(super) fn push(&mut self, attempt: Attempt<'a>, is_proven: bool) {
        self.attempts.push(attempt);
        self.has_unproven |= !is_proven;
    }

    /// Returns whether no attempt is left.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns whether the node of an attempt may still respond.
    pub(super) fn has_unproven(&self) -> bool {
        self.has_unproven && !self.is_empty()
    }

    /// Waits for the first response of an upstream, or returns `None` once no attempt is left.
    pub(super) async fn response(&mut self) -> Option<Reply> {
        poll_fn(|cx| self.poll_response(cx)).await
    }

    fn poll_response(&mut self, cx: &mut Context<'_>) -> Poll<Option<Reply>> {
        let mut response = None;
        self.attempts.retain_mut(|attempt| {
            if response.is_some() {
                return true;
            }
            match attempt.as_mut().poll(cx) {
                Poll::Pending => true,
                Poll::Ready(reply) => {
                    response = Some(reply).filter(|reply| reply.verdict == Verdict::Ran);
                    false
                }
            }
        });
        if response.is_some() || self.is_empty() {
            Poll::Ready(response)
        } else {
            Poll::Pending
        }
    }
}

impl Debug for Doubtful<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        f.debug_struct("Doubtful")
            .field("attempts", &self.attempts.len())
            .field("has_unproven", &self.has_unproven)
            .finish()
    }
}
