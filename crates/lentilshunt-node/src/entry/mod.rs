//! Accepts calls of callers and sends attempts to executing nodes.

mod attempt;
mod dispatcher;
mod guard;
mod meter;
mod notifier;
mod outbound;
mod policy;
mod reader;
mod remote_executor;

pub use dispatcher::Dispatcher;
pub use guard::Guard;
pub use notifier::Notifier;
pub use outbound::Outbound;
pub use policy::policy;
pub use remote_executor::RemoteExecutor;

use std::time::Instant;

/// Returns the current instant of the runtime clock, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
