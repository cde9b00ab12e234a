//! Guard that closes the ledger entry of a request.
//!
//! The ledger keeps which requests ran, so that each runs at most once.

use std::{sync::Mutex, time::Instant};

use lentilshunt_core::{
    execution::Ledger,
    verdict::{Reason, Verdict},
};
use lentilshunt_net::call::Reply;

use super::lock;

/// Tracks an accepted request in the ledger until it is finished or dropped.
#[derive(Debug)]
pub(super) struct LedgerGuard<'a> {
    ledger: &'a Mutex<Ledger<Reply>>,
    request_id: &'a str,
}

impl<'a> LedgerGuard<'a> {
    /// Creates a guard for a request that the ledger has accepted.
    pub(super) fn new(ledger: &'a Mutex<Ledger<Reply>>, request_id: &'a str) -> Self {
        Self { ledger, request_id }
    }

    /// Marks the request as running.
    pub(super) fn start(&self, now: Instant) -> Result<(), Reason> {
        lock(self.ledger).start(now, self.request_id)
    }

    /// Marks that an earlier request with the same key may have run.
    pub(super) fn defer(&self) {
        lock(self.ledger).defer(self.request_id);
    }

    /// Marks that the earlier request with the same key can no longer run.
    pub(super) fn resume(&self) {
        lock(self.ledger).resume(self.request_id);
    }

    /// Records the outcome of the request and returns its reply.
    pub(super) fn finish(self, reply: Reply) -> Reply {
        let mut ledger = lock(self.ledger);
        match reply.verdict {
            Verdict::NotRun => ledger.bar(self.request_id),
            Verdict::MayHaveRun => ledger.mark_lost(self.request_id),
            Verdict::Ran => {
                let bytes = reply.body.len() + headers_bytes(&reply);
                ledger.complete(self.request_id, reply.clone(), bytes);
            }
        }
        drop(ledger);
        reply
    }

    /// Closes a request whose caller no longer waits and returns a reply that nobody receives.
    ///
    /// The request is barred if it was only accepted; otherwise its outcome is unknown.
    pub(super) fn abandon(self) -> Reply {
        drop(self);
        Reply::unknown(Reason::ConnectionLost)
    }

    /// Bars the request, which has not run, and returns the refusal.
    pub(super) fn refuse(self, reason: Reason) -> Reply {
        self.finish(Reply::refused(reason))
    }
}

impl Drop for LedgerGuard<'_> {
    /// Has no effect on a request that is finished already.
    fn drop(&mut self) {
        lock(self.ledger).abandon(self.request_id);
    }
}

fn headers_bytes(reply: &Reply) -> usize {
    reply
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}
