//! One attempt of a call.

use std::time::SystemTime;

use lentilshunt_core::{execution::ARRIVAL_LIMIT, id::Incarnation};

use super::Call;

/// A call as it was sent to one incarnation of an executing node.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The call.
    pub call: Call,
    /// Start of the node that the attempt was sent to.
    pub incarnation: Incarnation,
    /// Deadline by the wall clock of the sender.
    pub expires_at: SystemTime,
}

impl Attempt {
    /// Returns whether the attempt arrived so late that its bar may be forgotten.
    #[must_use]
    pub fn is_late(&self, now: SystemTime) -> bool {
        self.expires_at
            .checked_add(ARRIVAL_LIMIT)
            .is_none_or(|limit| limit < now)
    }
}
