//! The task that deletes old claims.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use lentilshunt_core::claim::{shard_prefix, sweep_transaction};
use lentilshunt_net::platform::Table;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Mean time between two sweeps of one node.
const INTERVAL: Duration = Duration::from_mins(1);
/// Most claims that one sweep deletes.
const MAX_ROWS: usize = 64;

/// Deletes claims whose time is over, a part of the table at a time.
///
/// All nodes sweep parts that they choose at random, so that none is appointed.
#[derive(Debug)]
pub struct Sweeper {
    table: Arc<dyn Table>,
    random: StdRng,
}

impl Sweeper {
    /// Creates the task; `seed` is the one of its pauses and choices.
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
            let pause = INTERVAL.mul_f64(self.random.random_range(0.5..1.5));
            tokio::time::sleep(pause).await;
            let shard = shard_prefix(self.random.random());
            self.sweep(shard, SystemTime::now()).await;
        }
    }

    /// Deletes claims of one part of the table; what fails is left to a later sweep.
    pub async fn sweep(&self, shard: String, now: SystemTime) {
        let Ok(rows) = self.table.scan(shard).await else {
            return;
        };
        let Some(transaction) = sweep_transaction(&rows, now, MAX_ROWS) else {
            return;
        };
        let rows = transaction.writes.len() as u64;
        let outcome = self.table.transact(transaction).await;
        if outcome.is_ok_and(|outcome| outcome.committed) {
            metrics::counter!("lentilshunt_claims_swept_total").increment(rows);
        }
    }
}
