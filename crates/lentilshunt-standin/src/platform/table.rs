//! In-memory table with transactions.

use std::collections::BTreeMap;

use lentilshunt_schema::platform::{Expectation, Outcome, Row, Transaction};

/// Rows of a table, changed by one transaction at a time.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

impl Rows {
    /// Returns the row with a key.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns the rows whose keys start with a prefix.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies a transaction if all its conditions hold, and returns the rows of its conditions.
    pub fn transact(&mut self, transaction: Transaction) -> Outcome {
        let committed = transaction
            .conditions
            .iter()
            .all(|condition| self.holds(&condition.key, &condition.expectation));
        if committed {
            self.revision += 1;
            for write in transaction.writes {
                self.write(write.key, write.value);
            }
        }
        let rows = transaction
            .conditions
            .iter()
            .filter_map(|condition| self.rows.get(&condition.key).cloned())
            .collect();
        Outcome { committed, rows }
    }

    fn holds(&self, key: &str, expectation: &Expectation) -> bool {
        match (expectation, self.rows.get(key)) {
            (Expectation::Absent, row) => row.is_none(),
            (Expectation::Revision(revision), Some(row)) => row.revision == *revision,
            (Expectation::Revision(_), None) => false,
        }
    }

    fn write(&mut self, key: String, value: Option<Vec<u8>>) {
        match value {
            Some(value) => {
                let row = Row {
                    key: key.clone(),
                    value,
                    revision: self.revision,
                };
                self.rows.insert(key, row);
            }
            None => {
                self.rows.remove(&key);
            }
        }
    }
}
