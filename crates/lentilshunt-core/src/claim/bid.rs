//! One attempt to claim a key.

use lentilshunt_schema::platform::{Condition, Expectation, Row, Write};

use super::Claim;
use crate::encoding;

/// A claim to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Bid {
    /// Key of the row.
    pub key: String,
    /// The claim.
    pub claim: Claim,
    /// Revision of the row to replace; none to insert a row.
    pub replaces: Option<u64>,
}

/// A claim in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredClaim {
    /// The claim.
    pub claim: Claim,
    /// Revision of its row.
    pub revision: u64,
}

/// Outcome of a bid.
#[derive(Clone, Debug, PartialEq)]
pub enum BidOutcome {
    /// The claim is written; the request may run.
    Won,
    /// Another claim holds the key.
    Conflict(StoredClaim),
    /// The row to replace no longer exists.
    Gone,
    /// The row cannot be decoded.
    Unreadable,
}

impl Bid {
    /// Returns the condition under which the claim is written.
    #[must_use]
    pub fn condition(&self) -> Condition {
        Condition {
            key: self.key.clone(),
            expectation: self
                .replaces
                .map_or(Expectation::Absent, Expectation::Revision),
        }
    }

    /// Returns the write of the claim.
    ///
    /// # Panics
    ///
    /// Panics if the claim cannot be encoded, which cannot happen.
    #[must_use]
    pub fn write(&self) -> Write {
        let value = rmp_serde::to_vec_named(&self.claim).expect("claims can be encoded");
        Write {
            key: self.key.clone(),
            value: Some(value),
        }
    }

    /// Returns the outcome of a bid that was not written, given the row of its key.
    ///
    /// Returns none if the row does not conflict with the bid, which then has to
    /// be written again. The row may hold the claim of this bid, if an earlier
    /// write took effect and its response was lost.
    #[must_use]
    pub fn outcome(&self, row: Option<&Row>) -> Option<BidOutcome> {
        let Some(row) = row else {
            return self.replaces.map(|_revision| BidOutcome::Gone);
        };
        let Ok(claim) = encoding::decode::<Claim>(&row.value) else {
            return Some(BidOutcome::Unreadable);
        };
        if self.is_same(&claim) {
            return Some(BidOutcome::Won);
        }
        if self.replaces == Some(row.revision) {
            return None;
        }
        let revision = row.revision;
        Some(BidOutcome::Conflict(StoredClaim { claim, revision }))
    }

    /// Returns whether a claim is that of this bid.
    fn is_same(&self, claim: &Claim) -> bool {
        let own = &self.claim;
        own.request == claim.request
            && own.instance == claim.instance
            && own.incarnation == claim.incarnation
    }
}
