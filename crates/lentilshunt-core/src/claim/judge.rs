//! What follows from a claim that stands against a bid.

use super::{Bid, Holder};
use crate::execution::Resolution;

/// What a node does whose bid another claim stands against.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<A> {
    /// Bids for the replacement of the claim, whose request can no longer run.
    TakeOver(Bid),
    /// Returns the answer of the request that ran.
    Answer(A),
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
pub fn judge<A>(bid: &Bid, holder: &Holder, resolution: Option<Resolution<A>>) -> Step<A> {
    if bid.claim.digest != holder.claim.digest {
        return Step::Refuse;
    }
    match resolution {
        Some(Resolution::Barred) => Step::TakeOver(Bid {
            replaces: Some(holder.revision),
            ..bid.clone()
        }),
        Some(Resolution::Running) => Step::Wait,
        Some(Resolution::Answered(answer)) => Step::Answer(answer),
        Some(Resolution::MayHaveRun) | None => Step::MayHaveRun,
    }
}
