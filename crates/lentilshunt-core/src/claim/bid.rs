//! One attempt to claim a key.

use lentilshunt_schema::platform::{Condition, Expectation, Row, Write};

use super::Claim;

/// A claim that is to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Bid {
    /// Key of the row.
    pub key: String,
    /// The claim.
    pub claim: Claim,
    /// Revision of the row that is replaced; none to insert a row.
    pub replaces: Option<u64>,
}

/// A claim that stands in the table.
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
    /// The claim stands; the request may run.
    Won,
    /// Another claim stands.
    Conflict(StoredClaim),
    /// The row that was to be replaced is gone.
    Gone,
    /// The row cannot be read.
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
    /// Never panics, since every claim has an encoding.
    #[must_use]
    pub fn write(&self) -> Write {
        let value = rmp_serde::to_vec_named(&self.claim).expect("claims have an encoding");
        Write {
            key: self.key.clone(),
            value: Some(value),
        }
    }

    /// Returns the outcome by the row that stood when the bid was not written.
    ///
    /// Returns none when nothing stood against the bid, so that it is to be
    /// written again. The own claim may stand, when an earlier write of the bid
    /// took effect and its reply was lost.
    #[must_use]
    pub fn outcome(&self, row: Option<&Row>) -> Option<BidOutcome> {
        let Some(row) = row else {
            return self.replaces.map(|_revision| BidOutcome::Gone);
        };
        let Ok(claim) = rmp_serde::from_slice::<Claim>(&row.value) else {
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

    /// Returns whether a claim is the one of this bid.
    fn is_same(&self, claim: &Claim) -> bool {
        let own = &self.claim;
        own.request == claim.request
            && own.instance == claim.instance
            && own.incarnation == claim.incarnation
    }
}
