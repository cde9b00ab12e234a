//! Accepts a version by one transaction, whatever becomes of the messages.
//!
//! The platform may lose a request or its reply, and other operators may
//! accept versions at any time. An [`Acceptance`] reads the head, stores the
//! content, sends the transaction, and after a lost reply reads the head and the
//! history again until it knows whether the [`Proposal`] was accepted.
//!
//! | state | asks for | goes on to |
//! |---|---|---|
//! | reading | the head row | storing, then transacting, if the head is the base; settling if it is newer; else ended |
//! | storing | a put of each object | reading |
//! | transacting | the transaction | ended if committed, reading if not, pausing if not known |
//! | pausing | a wait | reading |
//! | settling | the history row after the base | ended: own operation or another's |

mod action;
mod event;
mod machine;
mod outcome;
mod proposal;

pub use action::Action;
pub use event::Event;
pub use machine::Acceptance;
pub use outcome::AcceptanceOutcome;
pub use proposal::{NextStep, Proposal};
