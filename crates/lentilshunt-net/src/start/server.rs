//! A program that only serves HTTP requests.

use std::{process::ExitCode, sync::Arc};

use tokio_util::sync::CancellationToken;

use super::stop_on_signal;
use crate::http::{Handler, Server, Shutdown};

/// Serves requests at an address until a stop signal arrives, and returns the exit code.
///
/// # Panics
///
/// Panics when `address` is not an IP address and port, which the settings check excludes.
pub async fn serve(address: &str, handler: Arc<dyn Handler>) -> ExitCode {
    let address = address
        .parse()
        .expect("the settings check ensures a valid address");
    let server = match Server::bind(address, handler).await {
        Ok(server) => server,
        Err(error) => {
            eprintln!("cannot listen on {address}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let stop = CancellationToken::new();
    tokio::spawn(stop_on_signal(stop.clone()));
    server.run(Shutdown::at_once(stop)).await;
    ExitCode::SUCCESS
}
