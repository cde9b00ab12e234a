//! Upstream stand-in that runs requests in slots and announces itself to the node of its instance.

use std::process::ExitCode;

use lentilshunt_net::start::{self, Program};
use lentilshunt_schema::settings;
use lentilshunt_standin::upstream;
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const PROGRAM: Program = Program {
    description: "Stands in for an upstream: slots, announcements, drain and crashes",
    schema_type: "UpstreamStandIn",
};

#[tokio::main]
async fn main() -> ExitCode {
    let settings: settings::UpstreamStandIn = match PROGRAM.load_settings() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let stop = CancellationToken::new();
    tokio::spawn(start::stop_on_signal(stop.clone()));
    match upstream::run(settings, stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
