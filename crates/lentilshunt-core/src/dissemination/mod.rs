//! Dissemination of configuration versions and membership records to every node.
//!
//! A [`Strategy`] is a state machine without I/O: its driver passes in
//! [`Event`]s with the current instant and carries out the [`Action`]s that it
//! returns. Strategies share one object-safe trait, so that they can be compared
//! under the same changes.

mod action;
mod config_replica;
mod event;
mod hybrid;
mod jitter;
mod link_class;
mod poller;
mod readers;
mod revision;
mod strategy;

pub use action::{Action, PlatformRequest};
pub use config_replica::ConfigReplica;
pub use event::{Event, PlatformResponse};
pub use hybrid::{Hybrid, RENDEZVOUS_PREFIX, Variant};
pub use link_class::{LinkClass, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES};
pub use poller::{MEMBER_PREFIX, Poller};
pub use readers::{Readers, Source};
pub use revision::Revision;
pub use strategy::Strategy;
