//! Structured logs on a standard stream.

use std::{io::Write, sync::Mutex};

use lentilshunt_schema::settings::{Log, LogFormat, LogLevel};
use slog::{Drain, Level, Logger, o};

/// Log lines that wait to be written before further ones are dropped.
const QUEUE_LINES: usize = 4096;

/// Creates a logger to the standard error stream whose lines carry the name of the process.
pub fn logger(settings: &Log, process: &str) -> Logger {
    logger_to(std::io::stderr(), settings, process)
}

/// Creates a logger to a stream whose lines carry the name of the process.
///
/// Lines are written by a thread of their own. Those that find its queue full
/// are dropped and counted, so that no caller waits for the stream.
pub fn logger_to(stream: impl Write + Send + 'static, settings: &Log, process: &str) -> Logger {
    let level = level(settings.level);
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
        .chan_size(QUEUE_LINES)
        .build()
        .filter_level(level)
        .fuse();
    Logger::root(queued, o!("process" => process))
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Trace => Level::Trace,
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}
