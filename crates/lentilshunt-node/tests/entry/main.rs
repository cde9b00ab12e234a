//! Attempts of calls, with executing nodes that fail in every way.

mod dispatch;
mod fixture;
mod guard;
mod property;
mod quarantine;
