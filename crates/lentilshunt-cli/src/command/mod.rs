//! The command line and its commands.

mod files;
mod line;

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use lentilshunt_core::config::{Head, Snapshot};
use lentilshunt_net::platform::{Client, Table};

pub use line::{Command, line};

use self::files::compile_files;
use crate::accept::{self, accept};

/// Exit code when files or settings are invalid.
pub const INVALID: u8 = 2;
/// Exit code when the platform is not available.
pub const UNAVAILABLE: u8 = 3;
/// Exit code when another version was accepted since the base.
pub const CONFLICT: u8 = 4;
/// Exit code when it is not known whether a version was accepted.
pub const UNSETTLED: u8 = 5;

/// Longest wait for one request to the platform.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Runs one command and returns its exit code.
pub async fn run(command: Command) -> ExitCode {
    match command {
        Command::Check { files } => match compile_files(&files) {
            Ok(_) => ExitCode::SUCCESS,
            Err(problems) => invalid(&problems),
        },
        Command::Accept {
            platform,
            base,
            files,
        } => match compile_files(&files) {
            Ok(snapshot) => accept_snapshot(platform, base, &snapshot).await,
            Err(problems) => invalid(&problems),
        },
        Command::History { platform } => history(platform).await,
    }
}

fn invalid(problems: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{problems}");
    ExitCode::from(INVALID)
}

async fn accept_snapshot(platform: SocketAddr, base: u64, snapshot: &Snapshot) -> ExitCode {
    let client = Client::new(platform, TIMEOUT);
    let operation = format!("{:032x}", rand::random::<u128>());
    match accept(&client, &client, snapshot, base, operation).await {
        Ok(head) => {
            println!("accepted version {} {}", head.version, head.digest);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(match error {
                accept::Error::Conflict { .. } => CONFLICT,
                accept::Error::Unsettled { .. } => UNSETTLED,
                accept::Error::Unavailable { .. } | accept::Error::Head { .. } => UNAVAILABLE,
            })
        }
    }
}

async fn history(platform: SocketAddr) -> ExitCode {
    let client = Client::new(platform, TIMEOUT);
    let rows = match client.scan("history/".to_owned()).await {
        Ok(rows) => rows,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(UNAVAILABLE);
        }
    };
    for row in rows {
        if let Ok(head) = Head::decode(&row.value) {
            println!("{} {} {}", head.version, head.digest, head.operation);
        }
    }
    ExitCode::SUCCESS
}
