//! The version to be accepted and the transaction that accepts it.

use lentilshunt_schema::platform::{Condition, Expectation, Row, Transaction, Write};

use crate::{
    config::{Error, Head},
    id::{Digest, OperationId, VersionId},
};

/// One operator's attempt to accept a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Id of the attempt; it tells an own lost write from another operator's.
    pub operation: OperationId,
    /// Version that the change was based on; 0 for the first.
    pub base: VersionId,
    /// Hash of the manifest to be accepted.
    pub digest: Digest,
}

/// What the head row says of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The head is the base; this transaction accepts the next version.
    Transact(Transaction),
    /// The head is another version than the base.
    Conflict(Head),
    /// The head is this proposal.
    Accepted(Head),
}

impl Proposal {
    /// Decides the next step from the head row as it was read.
    ///
    /// # Errors
    ///
    /// Returns an error when the row does not hold a head.
    pub fn next_step(&self, row: Option<&Row>) -> Result<NextStep, Error> {
        let head = match row {
            Some(row) => Head::decode(&row.value)?,
            None => Head::default(),
        };
        if head.operation == self.operation {
            return Ok(NextStep::Accepted(head));
        }
        if head.version != self.base {
            return Ok(NextStep::Conflict(head));
        }
        let expectation = row.map_or(Expectation::Absent, |row| {
            Expectation::Revision(row.revision)
        });
        Ok(NextStep::Transact(self.transaction(expectation)))
    }

    /// Returns the head that this proposal makes.
    #[must_use]
    pub fn head(&self) -> Head {
        Head {
            version: self.base.saturating_add(1),
            digest: self.digest.clone(),
            operation: self.operation.clone(),
        }
    }

    fn transaction(&self, expectation: Expectation) -> Transaction {
        let head = self.head();
        let history = Head::history_key(head.version);
        let value = head.encode();
        Transaction {
            conditions: vec![
                Condition {
                    key: Head::KEY.to_owned(),
                    expectation,
                },
                Condition {
                    key: history.clone(),
                    expectation: Expectation::Absent,
                },
            ],
            writes: vec![
                Write {
                    key: Head::KEY.to_owned(),
                    value: Some(value.clone()),
                },
                Write {
                    key: history,
                    value: Some(value),
                },
            ],
        }
    }
}
