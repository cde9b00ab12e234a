//! One attempt of a call, as the executing node receives it.

use std::time::SystemTime;

use lentilshunt_core::{execution::ARRIVAL_LIMIT, id::Incarnation};

use super::Call;

/// A call that was sent to one incarnation of an executing node.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call that this attempt executes.
    pub call: Call,
    /// Incarnation of the node that the attempt was sent to.
    pub incarnation: Incarnation,
    /// Deadline of the call on the sender's wall clock.
    pub expires_at: SystemTime,
}

impl Attempt {
    /// Returns whether the attempt arrived after the time for which a bar is kept.
    ///
    /// Such an attempt must be refused: the record that barred it may be gone.
    #[must_use]
    pub fn is_past_arrival_limit(&self, now: SystemTime) -> bool {
        self.expires_at
            .checked_add(ARRIVAL_LIMIT)
            .is_none_or(|limit| limit < now)
    }
}
