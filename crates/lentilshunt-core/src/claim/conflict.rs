//! What follows from a claim that stands against a bid.

use super::{Bid, StoredClaim};
use crate::execution::Resolution;

/// What a node does whose bid another claim stands against.
#[derive(Clone, Debug, PartialEq)]
pub enum ConflictAction<A> {
    /// Bids for the replacement of the claim, whose request can no longer run.
    TakeOver(Bid),
    /// Returns the answer of the request that ran.
    Respond(A),
    /// Asks again later, since the request runs.
    Wait,
    /// Refuses the request, since the key stands for a different one.
    Refuse,
    /// Tells that the request may have run.
    MayHaveRun,
}

/// Decides by what became of the request that holds the claim.
///
/// `resolution` is none when the holder cannot be asked.
#[must_use]
pub fn resolve_conflict<A>(
    bid: &Bid,
    holder: &StoredClaim,
    resolution: Option<Resolution<A>>,
) -> ConflictAction<A> {
    if bid.claim.digest != holder.claim.digest {
        return ConflictAction::Refuse;
    }
    match resolution {
        Some(Resolution::Barred) => ConflictAction::TakeOver(Bid {
            replaces: Some(holder.revision),
            ..bid.clone()
        }),
        Some(Resolution::Running) => ConflictAction::Wait,
        Some(Resolution::Answered(answer)) => ConflictAction::Respond(answer),
        Some(Resolution::MayHaveRun) | None => ConflictAction::MayHaveRun,
    }
}
