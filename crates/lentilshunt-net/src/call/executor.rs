//! Interface between the node that accepts a call and the node that executes it.

use std::{fmt::Debug, sync::Arc};

use lentilshunt_core::membership::Endpoint;
use lentilshunt_schema::call::Resolution;

use super::{Call, Reply};
use crate::BoxFuture;

/// Executes attempts on the node next to an endpoint's upstream.
pub trait Executor: Debug + Send + Sync {
    /// Executes one attempt.
    ///
    /// A reply of [`Verdict::NotRun`](lentilshunt_core::verdict::Verdict::NotRun)
    /// means that this attempt can no longer run on that endpoint.
    fn execute(&self, endpoint: Arc<Endpoint>, call: Arc<Call>) -> BoxFuture<'_, Reply>;

    /// Queries the state of an attempt whose outcome is unknown.
    ///
    /// `endpoint` is the one that the attempt was sent to, with the incarnation
    /// it had at that time. The query bars a request that the executing node has
    /// not seen. A reply is returned with [`Resolution::Answered`] only. A request
    /// that is idempotent, or that was sent to an earlier incarnation, may have
    /// run. `None` means that the executing node could not be queried; the request
    /// may have run in that case.
    fn resolve(
        &self,
        endpoint: Arc<Endpoint>,
        call: Arc<Call>,
    ) -> BoxFuture<'_, Option<(Resolution, Option<Reply>)>>;
}
