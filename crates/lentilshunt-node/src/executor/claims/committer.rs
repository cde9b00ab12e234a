//! Writes bids, several in one transaction.

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

/// Where the outcome of a bid goes; closed when nobody waits for it.
pub(super) type Owner = oneshot::Sender<BidOutcome>;

/// How bids are grouped.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Most bids of one transaction.
    pub batch: usize,
    /// Most transactions in flight.
    pub in_flight: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            batch: 128,
            in_flight: 4,
        }
    }
}

/// The task that writes the bids of one node.
///
/// While its transactions are in flight, further bids wait and share the next.
#[derive(Debug)]
pub struct Committer {
    table: Arc<dyn Table>,
    plan: Plan,
    bids: mpsc::Receiver<(Bid, Owner)>,
    waiting: Vec<(Bid, Owner)>,
    sent: JoinSet<(Batch<Owner>, Result<Outcome, Error>)>,
    backoff: Backoff,
    random: StdRng,
}

impl Committer {
    /// Creates the task; it ends when all senders of `bids` are gone.
    ///
    /// `seed` is the one of the pauses between transactions.
    #[must_use]
    pub(super) fn new(
        table: Arc<dyn Table>,
        plan: Plan,
        bids: mpsc::Receiver<(Bid, Owner)>,
        seed: u64,
    ) -> Self {
        Self {
            table,
            plan,
            bids,
            waiting: Vec::new(),
            sent: JoinSet::new(),
            backoff: Backoff::new(now()),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Writes bids until their senders are gone.
    pub(super) async fn run(mut self) {
        loop {
            let may_send = !self.waiting.is_empty() && self.sent.len() < self.plan.in_flight;
            let due = self.backoff.next_at();
            tokio::select! {
                biased;
                bid = self.bids.recv() => match bid {
                    Some(bid) => self.collect(bid),
                    None => return,
                },
                Some(sent) = self.sent.join_next() => {
                    if let Ok((batch, result)) = sent {
                        self.settle(batch, result);
                    }
                }
                () = sleep_until(due.into()), if may_send => self.send(),
            }
        }
    }

    /// Takes a bid and all others that have arrived by now.
    fn collect(&mut self, first: (Bid, Owner)) {
        self.waiting.push(first);
        while let Ok(bid) = self.bids.try_recv() {
            self.waiting.push(bid);
        }
    }

    fn send(&mut self) {
        self.waiting.retain(|(_, owner)| !owner.is_closed());
        let batch = Batch::take(&mut self.waiting, self.plan.batch);
        if batch.is_empty() {
            return;
        }
        self.backoff.record_start(now(), self.random.random());
        metrics::counter!("lentilshunt_claim_transactions_total").increment(1);
        metrics::histogram!("lentilshunt_claim_batch_bids").record(to_f64(batch.len()));
        let table = Arc::clone(&self.table);
        self.sent.spawn(async move {
            let result = table.transact(batch.transaction()).await;
            (batch, result)
        });
    }

    fn settle(&mut self, batch: Batch<Owner>, result: Result<Outcome, Error>) {
        let Ok(outcome) = result else {
            metrics::counter!("lentilshunt_claim_failures_total").increment(1);
            self.backoff.record_failure(now());
            self.waiting.splice(0..0, batch.into_bids());
            return;
        };
        self.backoff.record_success();
        let settled = batch.settle(&outcome);
        self.waiting.splice(0..0, settled.retry);
        for (owner, settlement) in settled.settled {
            // The owner may have given up meanwhile.
            drop(owner.send(settlement));
        }
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
