//! Attempts of calls, with executing nodes that fail in every way.

mod dispatch;
mod fixture;
mod property;
mod quarantine;
