//! What the start of every stand-in has in common.

use std::{fs, path::PathBuf};

use bpaf::Bpaf;
use lentilshunt_schema::ini::{self, Problem, Problems};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Command line of a stand-in.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
pub struct Options {
    /// Only checks the settings
    pub check_settings: bool,
    /// Settings file
    #[bpaf(positional("SETTINGS"))]
    pub file: PathBuf,
}

/// Reads the settings of a program.
///
/// # Errors
///
/// Returns every problem of the file, or that it cannot be read.
pub fn settings<T: DeserializeOwned>(root: &str, options: &Options) -> Result<T, Problems> {
    let name = options.file.display().to_string();
    let bytes = fs::read(&options.file).map_err(|error| {
        let message = format!("the file cannot be read: {error}");
        Problems(vec![Problem::new(&name, message)])
    })?;
    ini::read(root, &name, &bytes)
}

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
