//! The border to the nodes that hold claims.

use std::fmt::Debug;

use lentilshunt_core::{claim::Claim, execution::Resolution};
use lentilshunt_net::{Pending, call::Reply};

/// Asks the holder of a claim what became of its request.
pub trait Resolver: Debug + Send + Sync {
    /// Asks the node that a claim names; returns none when it does not answer.
    ///
    /// The question bars nothing: an unseen request may have run.
    fn resolve(&self, claim: Claim) -> Pending<'_, Option<Resolution<Reply>>>;
}
