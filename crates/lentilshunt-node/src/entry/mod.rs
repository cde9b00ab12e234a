//! Takes calls of callers and sends attempts to executing nodes.

mod attempt;
mod choice;
mod dispatcher;
mod guard;
mod handler;
mod meter;
mod notice;
mod reader;
mod remote;

pub use choice::policy;
pub use dispatcher::Dispatcher;
pub use guard::Guard;
pub use handler::Entry;
pub use notice::Notice;
pub use remote::Remote;

use std::time::Instant;

/// Returns the present instant of the runtime, which tests may pause.
fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
