//! Guard of a request in the ledger.

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
    request: &'a str,
}

impl<'a> LedgerGuard<'a> {
    /// Creates a guard for a request that the ledger has accepted.
    pub(super) fn new(ledger: &'a Mutex<Ledger<Reply>>, request: &'a str) -> Self {
        Self { ledger, request }
    }

    /// Marks the request as running.
    pub(super) fn start(&self, now: Instant) -> Result<(), Reason> {
        lock(self.ledger).start(now, self.request)
    }

    /// Marks that an earlier request with the same key may have run.
    pub(super) fn defer(&self) {
        lock(self.ledger).defer(self.request);
    }

    /// Marks that the earlier request with the same key can no longer run.
    pub(super) fn resume(&self) {
        lock(self.ledger).resume(self.request);
    }

    /// Records the outcome of the request and returns its reply.
    pub(super) fn finish(self, reply: Reply) -> Reply {
        let mut ledger = lock(self.ledger);
        match reply.verdict {
            Verdict::NotRun => ledger.bar(self.request),
            Verdict::MayHaveRun => ledger.mark_lost(self.request),
            Verdict::Ran => {
                let bytes = reply.body.len() + headers_bytes(&reply);
                ledger.complete(self.request, reply.clone(), bytes);
            }
        }
        drop(ledger);
        reply
    }

    /// Ends a request whose caller no longer waits for the reply.
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
    fn drop(&mut self) {
        lock(self.ledger).abandon(self.request);
    }
}

fn headers_bytes(reply: &Reply) -> usize {
    reply
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}
