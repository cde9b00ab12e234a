//! The interface between a dissemination strategy and its driver.

use std::{fmt::Debug, time::Instant};

use super::{Action, Event};

/// A strategy that disseminates configuration versions and membership records to every node.
pub trait Strategy: Debug + Send {
    /// Handles an event at the instant `now` and returns the actions to carry out.
    ///
    /// [`Event::Timer`] is due at [`Strategy::deadline`]; the first timer of a new
    /// strategy is due immediately.
    fn handle(&mut self, now: Instant, event: Event) -> Vec<Action>;

    /// Returns the instant at which the next [`Event::Timer`] is due.
    fn deadline(&self) -> Instant;
}
