//! Tests of the dispatcher with failing executing nodes.

mod dispatch;
mod fixture;
mod guard;
mod property;
mod quarantine;
