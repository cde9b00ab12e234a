//! Interface for sending requests to the local upstream.

use std::{fmt::Debug, net::SocketAddr, sync::Arc};

use lentilshunt_net::{
    BoxFuture,
    call::{Call, Reply},
};

/// Sends requests to the local upstream.
pub trait Transport: Debug + Send + Sync {
    /// Sends one request and waits for its complete response until the deadline of the call.
    ///
    /// The verdict of the reply is [`NotRun`] only if no byte of the request can
    /// have reached the upstream, and [`Ran`] only with a complete response.
    /// Dropping the future cancels the request at the upstream.
    ///
    /// [`NotRun`]: lentilshunt_core::verdict::Verdict::NotRun
    /// [`Ran`]: lentilshunt_core::verdict::Verdict::Ran
    fn send(&self, upstream: SocketAddr, call: Arc<Call>) -> BoxFuture<'_, Reply>;
}
