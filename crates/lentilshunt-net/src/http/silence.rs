//! Watches whether a connection stays silent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::lane::Lane;

/// Time without an answer after which an abandoned connection counts as silent.
const SILENCE: Duration = Duration::from_millis(250);

/// Retires the idle neighbours of a connection that is given up in silence.
#[derive(Debug)]
pub(super) struct Watch {
    lane: Arc<Lane>,
    silent_at: Instant,
    is_over: bool,
}

impl Watch {
    /// Begins to watch a connection on which a request is sent.
    pub(super) fn new(lane: Arc<Lane>, now: Instant) -> Self {
        Self {
            lane,
            silent_at: now + SILENCE,
            is_over: false,
        }
    }

    /// Ends the watch: the connection answered, or failed by itself.
    pub(super) fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.is_over && Instant::now() >= self.silent_at {
            self.lane.distrust();
        }
    }
}
