//! Signals that ask a program to stop.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Cancels `stop` on a termination signal or an interrupt.
///
/// # Panics
///
/// Panics when no signal handler can be installed.
pub async fn stop_on_signal(stop: CancellationToken) {
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    stop.cancel();
}
