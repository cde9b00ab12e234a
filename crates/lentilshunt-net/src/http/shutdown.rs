//! How a server is stopped.

use tokio_util::sync::CancellationToken;

/// Signals by which a [`Server`](super::Server) is stopped gracefully.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled when clients are to leave, while new ones are still taken.
    pub draining: CancellationToken,
    /// Cancelled when no client is taken any more.
    pub closed: CancellationToken,
}

impl Shutdown {
    /// Creates signals that come together, when `stop` is cancelled.
    #[must_use]
    pub fn at_once(stop: CancellationToken) -> Self {
        Self {
            draining: stop.clone(),
            closed: stop,
        }
    }
}
