//! One guarded attempt on the own upstream.

use std::{sync::Mutex, time::Instant};

use lentilshunt_core::{
    execution::Ledger,
    verdict::{Reason, Verdict},
};
use lentilshunt_net::call::Reply;

use super::lock;

/// An accepted request of the ledger, closed when it is finished or dropped.
#[derive(Debug)]
pub(super) struct LedgerGuard<'a> {
    ledger: &'a Mutex<Ledger<Reply>>,
    request: &'a str,
}

impl<'a> LedgerGuard<'a> {
    /// Takes charge of a request that the ledger has accepted.
    pub(super) fn new(ledger: &'a Mutex<Ledger<Reply>>, request: &'a str) -> Self {
        Self { ledger, request }
    }

    /// Marks the request as running.
    pub(super) fn start(&self, now: Instant) -> Result<(), Reason> {
        lock(self.ledger).start(now, self.request)
    }

    /// Marks that an earlier request of its key may have run.
    pub(super) fn defer(&self) {
        lock(self.ledger).defer(self.request);
    }

    /// Marks that the earlier request of its key can no longer run.
    pub(super) fn resume(&self) {
        lock(self.ledger).resume(self.request);
    }

    /// Records the outcome of the request.
    pub(super) fn finish(self, reply: Reply) -> Reply {
        let mut ledger = lock(self.ledger);
        match reply.verdict {
            Verdict::NotRun => ledger.refuse(self.request),
            Verdict::MayHaveRun => ledger.lose(self.request),
            Verdict::Ran => {
                let bytes = reply.body.len() + headers_bytes(&reply);
                ledger.answer(self.request, reply.clone(), bytes);
            }
        }
        drop(ledger);
        reply
    }

    /// Ends the request when nobody waits for its reply.
    pub(super) fn abandon(self) -> Reply {
        drop(self);
        Reply::unknown(Reason::ConnectionLost)
    }

    /// Bars the request, which has not run.
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
