//! The platform stand-in: a transactional table service and an object store.

use std::{process::ExitCode, sync::Arc, time::Instant};

use lentilshunt_net::http::{Server, Stop};
use lentilshunt_schema::settings;
use lentilshunt_standin::{platform::Platform, start};
use tokio_util::sync::CancellationToken;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let options = start::options().run();
    let settings: settings::Store = match start::settings("Store", &options) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(2);
        }
    };
    if options.check_settings {
        return ExitCode::SUCCESS;
    }
    let platform = Arc::new(Platform::new(&settings.capacity, Instant::now()));
    let address = settings.listen.address.parse().expect("checked by schema");
    let server = match Server::bind(address, platform).await {
        Ok(server) => server,
        Err(error) => {
            eprintln!("cannot listen on {address}: {error}");
            return ExitCode::FAILURE;
        }
    };
    let stop = CancellationToken::new();
    tokio::spawn(start::stop_on_signal(stop.clone()));
    server.run(Stop::at_once(stop)).await;
    ExitCode::SUCCESS
}
