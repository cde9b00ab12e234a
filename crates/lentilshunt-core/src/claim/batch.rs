//! Groups bids into one transaction.

use std::collections::HashMap;

use lentilshunt_schema::platform::{Outcome, Row, Transaction};

use super::{Bid, BidOutcome};

/// Bids for distinct keys, each with a value that identifies its submitter.
#[derive(Debug)]
pub struct Batch<T> {
    bids: Vec<(Bid, T)>,
}

/// Bids that a transaction settled, and bids that have to be written again.
#[derive(Debug)]
pub struct BatchOutcome<T> {
    /// Values of the settled bids with the outcomes.
    pub settled: Vec<(T, BidOutcome)>,
    /// Bids that do not conflict with an existing row but were not written, because
    /// the transaction failed as a whole.
    pub retry: Vec<(Bid, T)>,
}

impl<T> Batch<T> {
    /// Moves up to `limit` bids from the front of `waiting` into a batch, one for each key.
    ///
    /// Further bids for a key stay in `waiting`, which keeps its order.
    #[must_use]
    pub fn take(waiting: &mut Vec<(Bid, T)>, limit: usize) -> Self {
        let mut keys = std::collections::HashSet::new();
        let (bids, left): (Vec<_>, Vec<_>) = waiting
            .drain(..)
            .partition(|(bid, _)| keys.len() < limit && keys.insert(bid.key.clone()));
        *waiting = left;
        Self { bids }
    }

    /// Returns the number of bids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bids.len()
    }

    /// Returns whether there is no bid.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bids.is_empty()
    }

    /// Returns the transaction that writes either all bids or none.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        Transaction {
            conditions: self.bids.iter().map(|(bid, _)| bid.condition()).collect(),
            writes: self.bids.iter().map(|(bid, _)| bid.write()).collect(),
        }
    }

    /// Settles the bids according to the outcome of their transaction.
    ///
    /// If some bids conflict with existing rows, only those are settled. The
    /// others were not written because the transaction failed as a whole, and
    /// have to be written again.
    #[must_use]
    pub fn settle(self, outcome: &Outcome) -> BatchOutcome<T> {
        let rows: HashMap<&str, &Row> = outcome
            .rows
            .iter()
            .map(|row| (row.key.as_str(), row))
            .collect();
        let mut result = BatchOutcome {
            settled: Vec::new(),
            retry: Vec::new(),
        };
        for (bid, tag) in self.bids {
            let bid_outcome = if outcome.committed {
                Some(BidOutcome::Won)
            } else {
                bid.outcome(rows.get(bid.key.as_str()).copied())
            };
            match bid_outcome {
                Some(bid_outcome) => result.settled.push((tag, bid_outcome)),
                None => result.retry.push((bid, tag)),
            }
        }
        result
    }

    /// Returns the bids, for use when the outcome of their transaction is unknown.
    #[must_use]
    pub fn into_bids(self) -> Vec<(Bid, T)> {
        self.bids
    }
}
