//! Executes attempts on the local upstream: admission, at-most-once ledger and claims of
//! idempotency keys.

mod claims;
mod gate;
mod http_transport;
mod ledger_guard;
mod local_executor;
mod runner;
mod transport;
mod upstream;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

pub use claims::{Batching, Claimant, HolderClient, Resolver, Sweeper};
pub use http_transport::HttpTransport;
pub use local_executor::LocalExecutor;
pub(crate) use local_executor::into_schema;
use runner::Runner;
pub use transport::Transport;
pub use upstream::Upstream;

/// Returns the current instant of the runtime clock, which tests can pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Locks a mutex and ignores poisoning, for state that stays valid if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
