//! Link stand-in that relays TCP between failure domains with latency and cuts.

use std::{process::ExitCode, sync::Arc};

use lentilshunt_net::start::{self, Program};
use lentilshunt_schema::settings;
use lentilshunt_standin::link::Admin;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const PROGRAM: Program = Program {
    description: "Relays TCP between failure domains with latency and cuts",
    schema_type: "LinkStandIn",
};

#[tokio::main]
async fn main() -> ExitCode {
    let settings: settings::LinkStandIn = match PROGRAM.load_settings() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    start::serve(&settings.listen.address, Arc::new(Admin::default())).await
}
