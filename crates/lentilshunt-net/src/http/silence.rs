//! Detection of connections that stop responding.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::connections::Connections;

/// Time without a response after which an abandoned connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Guard that invalidates the idle connections to a server when a request to it
/// is abandoned after [`SILENCE_TIMEOUT`] without a response.
#[derive(Debug)]
pub(super) struct Guard {
    connections: Arc<Connections>,
    silent_at: Instant,
    is_disarmed: bool,
}

impl Guard {
    /// Creates a guard for a connection on which a request is about to be sent.
    pub(super) fn new(connections: Arc<Connections>, now: Instant) -> Self {
        Self {
            connections,
            silent_at: now + SILENCE_TIMEOUT,
            is_disarmed: false,
        }
    }

    /// Disarms the guard after the connection responded or failed by itself.
    pub(super) fn disarm(mut self) {
        self.is_disarmed = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_disarmed && Instant::now() >= self.silent_at {
            self.connections.invalidate_idle();
        }
    }
}
