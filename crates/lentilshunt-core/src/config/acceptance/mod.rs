//! Accepts a version with one transaction, tolerating lost requests and responses.
//!
//! The platform may lose a request or its response, and other operators may
//! accept versions at any time. An [`Acceptance`] reads the head, stores the
//! content and sends the transaction. After a lost response it reads the head
//! and the history again until it can tell whether the [`Proposal`] was accepted.
//!
//! | state | requests | next state |
//! |---|---|---|
//! | reading | the head row | storing or transacting if the head is the base |
//! | | | `reading_history` if the head is newer, otherwise ended |
//! | storing | a put of each content | reading |
//! | transacting | the transaction | ended if committed, reading if rejected |
//! | | | `backing_off` if the outcome is unknown |
//! | `backing_off` | a wait | reading |
//! | `reading_history` | the history row after the base | ended |
//! | any but transacting | | the same after a delay, or ended if expired |

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
