//! Structured logging to a stream.

use std::{io::Write, sync::Mutex};

use lentilshunt_schema::settings::{Log, LogFormat, LogLevel};
use slog::{Drain, Level, Logger, o};

/// Maximum number of queued log lines; further lines are dropped.
const MAX_QUEUED_LINES: usize = 4096;

/// Creates a logger to the standard error stream with the process name in each line.
pub fn logger(settings: &Log, process: &str) -> Logger {
    logger_to(std::io::stderr(), settings, process)
}

/// Creates a logger to a stream with the process name in each line.
///
/// A separate thread writes the lines. When its queue is full, lines are dropped
/// and counted, so that logging never blocks on the stream.
pub fn logger_to(stream: impl Write + Send + 'static, settings: &Log, process: &str) -> Logger {
    let level = slog_level(settings.level);
    let process = process.to_owned();
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match settings.format {
        LogFormat::Json => {
            let json = slog_json::Json::default(stream);
            Box::new(Mutex::new(json).fuse())
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainDecorator::new(stream);
            let terminal = slog_term::FullFormat::new(decorator).build();
            Box::new(Mutex::new(terminal).fuse())
        }
    };
    let queued = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .filter_level(level)
        .fuse();
    Logger::root(queued, o!("process" => process))
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Trace => Level::Trace,
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}
