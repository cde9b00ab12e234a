//! The upstream stand-in: runs requests in slots and announces itself to its node.

use std::process::ExitCode;

use lentilshunt_schema::settings;
use lentilshunt_standin::{start, upstream};
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let options = start::options().run();
    let settings: settings::Upstream = match start::settings("Upstream", &options) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(2);
        }
    };
    if options.check_settings {
        return ExitCode::SUCCESS;
    }
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
