//! The interface between a dissemination strategy and its driver.

use std::{fmt::Debug, time::Instant};

use super::{Action, Event};

/// A strategy that disseminates versions and records to every node.
pub trait Strategy: Debug + Send {
    /// Handles an event at the instant `now` and returns the actions to carry out.
    ///
    /// [`Event::Timer`] is due at [`Strategy::deadline`]; a new strategy is due without a delay.
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action>;

    /// Returns the instant at which the next [`Event::Timer`] is due.
    fn deadline(&self) -> Instant;
}
