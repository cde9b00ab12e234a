//! The border between the node that takes a call and the node that executes it.

use std::{fmt::Debug, sync::Arc};

use lentilshunt_core::membership::Endpoint;
use lentilshunt_schema::call::Resolution;

use super::{Call, Reply};
use crate::BoxFuture;

/// Executes attempts on the node beside an endpoint.
pub trait Executor: Debug + Send + Sync {
    /// Executes one attempt.
    ///
    /// A reply of [`Verdict::NotRun`](lentilshunt_core::verdict::Verdict::NotRun)
    /// means that this attempt can no longer run on that endpoint.
    fn execute(&self, endpoint: Arc<Endpoint>, call: Arc<Call>) -> BoxFuture<'_, Reply>;

    /// Asks what became of an attempt whose outcome is unknown.
    ///
    /// `endpoint` is the one that the attempt was sent to, with its incarnation
    /// of then. An unseen request is barred by the question. The reply comes
    /// with [`Resolution::Answered`] only. A request that is idempotent, or was
    /// sent to an earlier incarnation, may have run. No resolution is returned
    /// when the executing node cannot be asked; the request may have run then.
    fn resolve(
        &self,
        endpoint: Arc<Endpoint>,
        call: Arc<Call>,
    ) -> BoxFuture<'_, Option<(Resolution, Option<Reply>)>>;
}
