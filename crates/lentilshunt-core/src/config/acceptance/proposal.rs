//! Version to accept, and the transaction that accepts it.

use lentilshunt_schema::platform::{Condition, Expectation, Row, Transaction, Write};

use crate::{
    config::{Error, Head},
    id::{Digest, OperationId, VersionId},
};

/// Attempt of an operator to accept a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Id of the attempt, which distinguishes its own writes from those of other operators.
    pub operation: OperationId,
    /// Version that the change is based on; 0 for the first version.
    pub base: VersionId,
    /// Hash of the manifest to accept.
    pub digest: Digest,
}

/// Next step of a proposal, as determined by the head row.
#[derive(Clone, Debug, PartialEq)]
pub enum NextStep {
    /// The head is the base; this transaction accepts the proposal.
    Transact(Transaction),
    /// The head is a different version than the base.
    Conflict(Head),
    /// The head was written by this proposal.
    Accepted(Head),
}

impl Proposal {
    /// Determines the next step from the head row.
    ///
    /// # Errors
    ///
    /// Returns an error if the row does not contain a head.
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

    /// Returns the head that this proposal writes.
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
