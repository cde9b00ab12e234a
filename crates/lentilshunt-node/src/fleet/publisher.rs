//! Writes the record of the local node to the store.

use std::{sync::Arc, time::Duration};

use lentilshunt_core::membership::{Phase, Record};
use slog::{Logger, info, warn};
use tokio::{sync::watch, time::sleep};

use super::{Registration, Restoration, TableStore};

/// Initial pause after a write that was not confirmed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum pause after a write that was not confirmed.
///
/// With it, a write that failed in an outage is repeated within two seconds of its end.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Writes each new record of the local node to its row in the store.
#[derive(Debug)]
pub struct Publisher {
    store: Arc<dyn TableStore>,
    table: String,
    link_mbps: u32,
    log: Logger,
}

impl Publisher {
    /// Creates a publisher that writes to a table of the store, with `link_mbps` in each row.
    #[must_use]
    pub fn new(store: Arc<dyn TableStore>, table: String, link_mbps: u32, log: Logger) -> Self {
        Self {
            store,
            table,
            link_mbps,
            log,
        }
    }

    /// Writes each new record until all senders of records are dropped.
    ///
    /// The row is removed when the upstream is gone. A write that is not
    /// confirmed is repeated with the record that is then the newest. A record that a restored
    /// store has lost is written again.
    pub async fn run(
        self,
        mut records: watch::Receiver<Option<Record>>,
        mut restorations: watch::Receiver<Restoration>,
    ) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let record = records.borrow_and_update().clone();
            if let Some(record) = &record {
                if self.write(record).await {
                    backoff = INITIAL_BACKOFF;
                } else {
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    records.mark_changed();
                    continue;
                }
            }
            tokio::select! {
                changed = records.changed() => if changed.is_err() {
                    return;
                },
                () = wait_for_loss(record.as_ref(), &mut restorations) => {
                    metrics::counter!("lentilshunt_lost_records_total").increment(1);
                    info!(self.log, "local record lost by the restored store, writing it again");
                }
            }
        }
    }

    /// Writes a record and returns whether no retry is needed.
    async fn write(&self, record: &Record) -> bool {
        let registration = Registration {
            record: record.clone(),
            link_mbps: self.link_mbps,
        };
        let value = (record.phase != Phase::Gone).then(|| rmp_serde::to_vec_named(&registration));
        let value = match value.transpose() {
            Ok(value) => value.map(Into::into),
            Err(error) => {
                warn!(self.log, "local record cannot be encoded"; "error" => %error);
                return true;
            }
        };
        match self.store.write(&self.table, &record.instance, value).await {
            Ok(()) => {
                info!(self.log, "local record written"; "phase" => %record.phase,
                    "sequence" => record.sequence);
                true
            }
            Err(error) => {
                warn!(self.log, "write of the local record not confirmed"; "error" => %error);
                false
            }
        }
    }
}

/// Waits until the store comes back from a copy that does not contain the written record.
async fn wait_for_loss(written: Option<&Record>, restorations: &mut watch::Receiver<Restoration>) {
    // The row of an upstream that is gone has been removed.
    let expected = written.filter(|record| record.phase != Phase::Gone);
    loop {
        if restorations.changed().await.is_err() {
            return std::future::pending().await;
        }
        let listed = restorations.borrow_and_update();
        if written.is_some() && listed.own_record.as_ref() != expected {
            return;
        }
    }
}
