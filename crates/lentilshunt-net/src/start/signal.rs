//! Signals that stop a program.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Cancels `stop` on SIGTERM or SIGINT.
///
/// # Panics
///
/// Panics when no signal handler can be installed.
pub async fn stop_on_signal(stop: CancellationToken) {
    let mut terminate =
        signal(SignalKind::terminate()).expect("the signal handler can be installed");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    stop.cancel();
}
