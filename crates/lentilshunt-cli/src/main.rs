//! The operators' command `lentilshunt`.

use std::process::ExitCode;

use lentilshunt_cli::command;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let command = command::parser().run();
    command::run(command).await
}
