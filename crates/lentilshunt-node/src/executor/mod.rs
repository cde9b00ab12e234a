//! Executes attempts on the own upstream.

mod attempt;
mod backend;
mod claims;
mod gate;
mod local;
mod pooled;
mod runner;
mod upstream;

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

pub use backend::Backend;
pub use claims::{Asker, Claimant, Plan, Sweeper, Wire};
pub(crate) use gate::Gate;
pub use local::Local;
pub(crate) use local::split;
pub use pooled::Pooled;
use runner::Runner;
pub use upstream::Upstream;

/// Returns the instant of now by the clock of the runtime.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Locks state that stays valid when a holder panics.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
