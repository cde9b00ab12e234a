//! The command line and its commands.

mod access;
mod failure;
mod files;
mod nodes;
mod output;
mod parser;
mod read;
mod write;

use std::process::ExitCode;

pub use access::Access;
pub use failure::{
    CONFLICT, FAILED, Failure, INVALID, LAGGING, UNAVAILABLE, UNREADABLE, UNSETTLED,
};
pub use parser::{Command, parser};

/// Runs one command and returns its exit code.
pub async fn run(command: Command) -> ExitCode {
    let json = command.is_json();
    match execute(command).await {
        Ok(code) => code,
        Err(failure) => failure.report(json),
    }
}

async fn execute(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Check { json, files } => read::check(json, &files)?,
        Command::Diff {
            access,
            json,
            from,
            to,
            files,
        } => read::diff(&access, json, from, to, &files).await?,
        Command::Accept {
            access,
            json,
            base,
            operation,
            files,
        } => write::accept(&access, json, base, operation, &files).await?,
        Command::Rollback {
            access,
            json,
            base,
            operation,
            version,
        } => write::rollback(&access, json, base, operation, version).await?,
        Command::History { access, json } => read::history(&access, json).await?,
        Command::Show {
            access,
            json,
            version,
        } => read::show(&access, json, version).await?,
        Command::Status {
            access,
            json,
            nodes,
        } => return nodes::status(&access, json, nodes).await,
        Command::Routes { json, node } => nodes::routes(json, node).await?,
    }
    Ok(ExitCode::SUCCESS)
}
