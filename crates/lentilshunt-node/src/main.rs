//! The node process.

use std::{fs, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use lentilshunt_net::log;
use lentilshunt_node::shell;
use lentilshunt_schema::{
    ini::{self, Problem, Problems},
    settings,
};
use slog::error;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Routes calls beside one upstream.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Only checks the settings
    check_settings: bool,
    /// Settings file
    #[bpaf(positional("SETTINGS"))]
    file: PathBuf,
}

/// Exit code when the settings are invalid.
const INVALID_SETTINGS: u8 = 2;

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let options = options().run();
    let settings = match read(&options) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if options.check_settings {
        return ExitCode::SUCCESS;
    }
    let log = log::logger(&settings.log, &settings.instance.name);
    let stop = CancellationToken::new();
    tokio::spawn(stop_on_signal(stop.clone()));
    match shell::run(settings, log.clone(), stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "the node cannot run"; "error" => %failure);
            ExitCode::FAILURE
        }
    }
}

fn read(options: &Options) -> Result<settings::Node, Problems> {
    let name = options.file.display().to_string();
    let bytes = fs::read(&options.file).map_err(|error| {
        let message = format!("the file cannot be read: {error}");
        Problems(vec![Problem::new(&name, message)])
    })?;
    ini::read("Node", &name, &bytes)
}

async fn stop_on_signal(stop: CancellationToken) {
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    stop.cancel();
}
