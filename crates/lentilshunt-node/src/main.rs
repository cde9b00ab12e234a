//! Entry point of the node process.

use std::process::ExitCode;

use lentilshunt_net::{
    log,
    start::{self, Program},
};
use lentilshunt_node::lifecycle;
use lentilshunt_schema::settings;
use slog::error;
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const PROGRAM: Program = Program {
    description: "Routes requests for the upstream on the same instance",
    schema_type: "Node",
};

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let settings: settings::Node = match PROGRAM.load_settings() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let log = log::logger(&settings.log, &settings.instance.name);
    let stop = CancellationToken::new();
    tokio::spawn(start::stop_on_signal(stop.clone()));
    match lifecycle::run(settings, log.clone(), stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            error!(log, "the node failed to start"; "error" => %failure);
            ExitCode::FAILURE
        }
    }
}
