//! Resolves the conflict between a bid and an existing claim.

use super::{Bid, StoredClaim};
use crate::execution::Resolution;

/// What a node does after its bid conflicted with an existing claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ConflictAction<R> {
    /// Replace the claim, whose request can no longer run, with this bid.
    TakeOver(Bid),
    /// Return the response to the request that ran.
    Respond(R),
    /// Query the claiming node again later, because its request is still open.
    Wait,
    /// Refuse the request, because the key belongs to a different one.
    Refuse,
    /// Report that the request may have run.
    MayHaveRun,
}

/// Decides what to do based on the outcome of the request that holds the claim.
///
/// `resolution` is none if the claiming node cannot be queried.
#[must_use]
pub fn resolve_conflict<R>(
    bid: &Bid,
    stored_claim: &StoredClaim,
    resolution: Option<Resolution<R>>,
) -> ConflictAction<R> {
    if bid.claim.digest != stored_claim.claim.digest {
        return ConflictAction::Refuse;
    }
    match resolution {
        Some(Resolution::Barred) => ConflictAction::TakeOver(Bid {
            replaces: Some(stored_claim.revision),
            ..bid.clone()
        }),
        Some(Resolution::Running) => ConflictAction::Wait,
        Some(Resolution::Answered(response)) => ConflictAction::Respond(response),
        Some(Resolution::MayHaveRun) | None => ConflictAction::MayHaveRun,
    }
}
