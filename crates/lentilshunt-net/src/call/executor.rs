//! The border between the node that takes a call and the node that executes it.

use std::{fmt::Debug, sync::Arc};

use lentilshunt_core::{id::RequestId, membership::Endpoint};
use lentilshunt_schema::call::Resolution;

use super::{Call, Reply};
use crate::Pending;

/// Executes attempts on the node beside an endpoint.
pub trait Executor: Debug + Send + Sync {
    /// Executes one attempt.
    ///
    /// A reply of [`Verdict::NotRun`](lentilshunt_core::verdict::Verdict::NotRun)
    /// means that this attempt can no longer run on that endpoint.
    fn execute(&self, endpoint: Arc<Endpoint>, call: Arc<Call>) -> Pending<'_, Reply>;

    /// Asks what became of a request whose outcome is unknown.
    ///
    /// An unseen request is barred by the question. The reply comes with
    /// [`Resolution::Answered`] only. No resolution is returned when the
    /// executing node cannot be asked.
    fn resolve(
        &self,
        endpoint: Arc<Endpoint>,
        request: RequestId,
    ) -> Pending<'_, Option<(Resolution, Option<Reply>)>>;
}
