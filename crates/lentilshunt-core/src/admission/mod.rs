//! Concurrency limit and request queue of an upstream.
//!
//! A request runs immediately while a slot is free. Otherwise it waits in a short
//! queue that is ordered by rank and deadline, unless the observed run times
//! predict that it would miss its deadline. A running request is never preempted.

mod estimate;
mod precedence;
mod queue;
mod slots;

pub use estimate::Estimate;
pub use precedence::Precedence;
pub use queue::{Queue, Ticket};
pub use slots::Slots;
