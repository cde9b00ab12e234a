//! Accepts calls of callers and sends attempts to executing nodes.
//!
//! The executing node of an attempt is the one beside the upstream that runs it.
//! [`QuarantineFilter`] checks attempts that arrive from other nodes.

mod attempt;
mod dispatcher;
mod meter;
mod notifier;
mod outbound;
mod parser;
mod policy;
mod quarantine_filter;
mod remote_executor;

pub use dispatcher::Dispatcher;
pub use notifier::Notifier;
pub use outbound::Outbound;
pub use policy::policy;
pub use quarantine_filter::QuarantineFilter;
pub use remote_executor::RemoteExecutor;

use std::time::Instant;

/// Returns the current instant of the runtime clock, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
