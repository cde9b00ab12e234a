//! Background task that deletes expired claims.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use lentilshunt_core::claim::{shard_prefix, sweep_transaction};
use lentilshunt_net::platform::Table;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Mean interval between two sweeps of one node.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);
/// Maximum number of claims that one sweep deletes.
const MAX_SWEPT_CLAIMS: usize = 64;

/// Deletes expired claims, one shard of the table at a time.
///
/// Each node sweeps random shards, so that no node has to be elected for it.
#[derive(Debug)]
pub struct Sweeper {
    table: Arc<dyn Table>,
    random: StdRng,
}

impl Sweeper {
    /// Creates the task; `seed` initializes its random delays and choices of shards.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, seed: u64) -> Self {
        Self {
            table,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Sweeps until the task is aborted.
    pub async fn run(mut self) {
        loop {
            let delay = SWEEP_INTERVAL.mul_f64(self.random.random_range(0.5..1.5));
            tokio::time::sleep(delay).await;
            let prefix = shard_prefix(self.random.random());
            self.sweep(prefix, SystemTime::now()).await;
        }
    }

    /// Deletes expired claims of one shard; a later sweep retries after a failure.
    pub async fn sweep(&self, prefix: String, now: SystemTime) {
        let Ok(rows) = self.table.scan(prefix).await else {
            return;
        };
        let Some(transaction) = sweep_transaction(&rows, now, MAX_SWEPT_CLAIMS) else {
            return;
        };
        let rows = transaction.writes.len() as u64;
        let outcome = self.table.transact(transaction).await;
        if outcome.is_ok_and(|outcome| outcome.committed) {
            metrics::counter!("lentilshunt_claims_swept_total").increment(rows);
        }
    }
}
