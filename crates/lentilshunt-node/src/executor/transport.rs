//! The border to the upstream beside the node.

use std::{fmt::Debug, net::SocketAddr, sync::Arc};

use lentilshunt_net::{
    Pending,
    call::{Call, Reply},
};

/// Sends requests to the own upstream.
pub trait Transport: Debug + Send + Sync {
    /// Sends one request and waits for its whole answer until the deadline of the call.
    ///
    /// The verdict of the reply is [`NotRun`] only when no byte of the request
    /// can have reached the upstream, and [`Ran`] only with the whole answer.
    /// Dropping the future cancels the request at the upstream.
    ///
    /// [`NotRun`]: lentilshunt_core::verdict::Verdict::NotRun
    /// [`Ran`]: lentilshunt_core::verdict::Verdict::Ran
    fn send(&self, upstream: SocketAddr, call: Arc<Call>) -> Pending<'_, Reply>;
}
