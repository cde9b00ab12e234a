//! Signals of a graceful shutdown.

use tokio_util::sync::CancellationToken;

/// Signals for the graceful shutdown of a [`Server`](super::Server).
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled when clients are asked to close their connections; new ones are still
    /// accepted.
    pub draining: CancellationToken,
    /// Cancelled when new connections are no longer accepted.
    pub closed: CancellationToken,
}

impl Shutdown {
    /// Creates a shutdown whose two signals are the cancellation of `stop`.
    #[must_use]
    pub fn at_once(stop: CancellationToken) -> Self {
        Self {
            draining: stop.clone(),
            closed: stop,
        }
    }
}
