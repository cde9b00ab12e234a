//! Executes attempts on the own upstream.

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

pub use claims::{Asker, Claimant, Plan, Sweeper, Wire};
pub(crate) use gate::Gate;
pub use http_transport::Pooled;
pub use local_executor::Local;
pub(crate) use local_executor::split;
use runner::Runner;
pub use transport::Backend;
pub use upstream::Upstream;

/// Returns the instant of now by the clock of the runtime.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Locks state that stays valid when a holder panics.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
