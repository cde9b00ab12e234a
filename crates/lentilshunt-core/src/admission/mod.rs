//! Which requests an upstream takes, and in which order.
//!
//! A request runs at once while a slot is free. Else it waits in a short queue
//! that is ordered by rank and deadline, unless the observed run times say that it
//! cannot be answered in time. What runs is never interrupted for what waits.

mod estimate;
mod precedence;
mod queue;
mod slots;

pub use estimate::Estimate;
pub use precedence::Precedence;
pub use queue::{Queue, Ticket};
pub use slots::Slots;
