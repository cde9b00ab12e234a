//! Interface to the nodes that hold claims.

use std::fmt::Debug;

use lentilshunt_core::{claim::Claim, execution::Resolution};
use lentilshunt_net::{BoxFuture, call::Reply};

/// Resolves the outcome of requests whose claims other nodes hold.
pub trait Resolver: Debug + Send + Sync {
    /// Queries the node that holds a claim; returns `None` if it does not respond.
    ///
    /// The query does not bar the request: one without an entry at the holder
    /// may have run.
    fn resolve(&self, claim: Claim) -> BoxFuture<'_, Option<Resolution<Reply>>>;
}
