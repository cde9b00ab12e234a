//! Platform stand-in: a transactional table service and an object store.

use std::{process::ExitCode, sync::Arc, time::Instant};

use lentilshunt_net::start::{self, Program};
use lentilshunt_schema::settings;
use lentilshunt_standin::platform::Platform;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const PROGRAM: Program = Program {
    description: "Stands in for the platform: a transactional table and an object store",
    schema_type: "PlatformStandIn",
};

#[tokio::main]
async fn main() -> ExitCode {
    let settings: settings::PlatformStandIn = match PROGRAM.load_settings() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let platform = Platform::new(&settings.capacity, Instant::now());
    start::serve(&settings.listen.address, Arc::new(platform)).await
}
