//! The border between a way of dissemination and its owner.

use std::{fmt::Debug, time::Instant};

use super::{Action, Event};

/// One way to bring versions and records to every node.
pub trait Strategy: Debug + Send {
    /// Handles an event at the instant `now` and returns what is to be done.
    ///
    /// [`Event::Timer`] is due at [`Strategy::deadline`]; a new strategy is due at once.
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action>;

    /// Returns the instant at which the next [`Event::Timer`] is due.
    fn deadline(&self) -> Instant;
}
