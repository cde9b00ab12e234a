//! Writes bids in batches, one transaction each.

use std::sync::Arc;

use lentilshunt_core::claim::{Backoff, Batch, Bid, BidOutcome};
use lentilshunt_net::platform::{Error, Table};
use lentilshunt_schema::platform::Outcome;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::sleep_until,
};

use crate::executor::now;

/// Sends the outcome of a bid; closed if the bid was abandoned.
pub(super) type OutcomeSender = oneshot::Sender<BidOutcome>;

/// Limits for batches of bids.
#[derive(Clone, Copy, Debug)]
pub struct Batching {
    /// Maximum number of bids per transaction.
    pub max_bids: usize,
    /// Maximum number of transactions in flight.
    pub max_in_flight: usize,
}

impl Default for Batching {
    fn default() -> Self {
        Self {
            max_bids: 128,
            max_in_flight: 4,
        }
    }
}

/// Background task that writes the bids of one node.
///
/// Bids that arrive while the maximum number of transactions is in flight share
/// the next transaction.
#[derive(Debug)]
pub struct Committer {
    table: Arc<dyn Table>,
    batching: Batching,
    bids: mpsc::Receiver<(Bid, OutcomeSender)>,
    pending: Vec<(Bid, OutcomeSender)>,
    in_flight: JoinSet<(Batch<OutcomeSender>, Result<Outcome, Error>)>,
    backoff: Backoff,
    random: StdRng,
}

impl Committer {
    /// Creates the task; it ends when all senders of `bids` are dropped.
    ///
    /// `seed` initializes the jitter of the delays between transactions.
    #[must_use]
    pub(super) fn new(
        table: Arc<dyn Table>,
        batching: Batching,
        bids: mpsc::Receiver<(Bid, OutcomeSender)>,
        seed: u64,
    ) -> Self {
        Self {
            table,
            batching,
            bids,
            pending: Vec::new(),
            in_flight: JoinSet::new(),
            backoff: Backoff::new(now()),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Writes bids until all their senders are dropped.
    pub(super) async fn run(mut self) {
        loop {
            let may_send =
                !self.pending.is_empty() && self.in_flight.len() < self.batching.max_in_flight;
            let next_at = self.backoff.next_at();
            tokio::select! {
                biased;
                bid = self.bids.recv() => match bid {
                    Some(bid) => self.collect(bid),
                    None => return,
                },
                Some(completed) = self.in_flight.join_next() => {
                    if let Ok((batch, result)) = completed {
                        self.handle_result(batch, result);
                    }
                }
                () = sleep_until(next_at.into()), if may_send => self.send_batch(),
            }
        }
    }

    /// Queues a bid and all others that have already arrived.
    fn collect(&mut self, first: (Bid, OutcomeSender)) {
        self.pending.push(first);
        while let Ok(bid) = self.bids.try_recv() {
            self.pending.push(bid);
        }
    }

    fn send_batch(&mut self) {
        self.pending.retain(|(_, sender)| !sender.is_closed());
        let batch = Batch::take(&mut self.pending, self.batching.max_bids);
        if batch.is_empty() {
            return;
        }
        self.backoff.record_start(now(), self.random.random());
        metrics::counter!("lentilshunt_claim_transactions_total").increment(1);
        metrics::histogram!("lentilshunt_claim_batch_bids").record(to_f64(batch.len()));
        let table = Arc::clone(&self.table);
        self.in_flight.spawn(async move {
            let result = table.transact(batch.transaction()).await;
            (batch, result)
        });
    }

    fn handle_result(&mut self, batch: Batch<OutcomeSender>, result: Result<Outcome, Error>) {
        let Ok(outcome) = result else {
            metrics::counter!("lentilshunt_claim_failures_total").increment(1);
            self.backoff.record_failure(now());
            self.pending.splice(0..0, batch.into_bids());
            return;
        };
        self.backoff.record_success();
        let settled = batch.settle(&outcome);
        self.pending.splice(0..0, settled.retry);
        for (sender, outcome) in settled.settled {
            // The bid may have been abandoned meanwhile.
            drop(sender.send(outcome));
        }
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
