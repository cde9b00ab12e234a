//! Tests of the dispatcher with failing executing nodes.

mod dispatch;
mod fixture;
mod property;
mod quarantine;
mod quarantine_filter;
