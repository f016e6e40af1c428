//! Structured logging.

use std::io::Write;

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::Settings;

/// Builds a program's logger from the settings `log_format` and `log_level`. Records go to standard
/// error.
///
/// Dropping the returned guard flushes buffered records.
pub fn build_logger(
    program: &'static str,
    settings: &Settings,
) -> (Logger, slog_async::AsyncGuard) {
    build_logger_to(program, settings, std::io::stderr())
}

/// Builds a program's logger whose records go to standard output.
///
/// Dropping the returned guard flushes buffered records.
pub fn build_stdout_logger(
    program: &'static str,
    settings: &Settings,
) -> (Logger, slog_async::AsyncGuard) {
    build_logger_to(program, settings, std::io::stdout())
}

/// Builds a program's logger whose records are written to `output` by a background thread.
///
/// Dropping the returned guard flushes buffered records.
pub fn build_logger_to<W: Write + Send + 'static>(
    program: &'static str,
    settings: &Settings,
    output: W,
) -> (Logger, slog_async::AsyncGuard) {
    let level = match settings.text("log_level") {
        "error" => Level::Error,
        "warning" => Level::Warning,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> =
        if settings.text("log_format") == "json" {
            Box::new(slog_json::Json::default(output).fuse())
        } else {
            let decorator = slog_term::PlainDecorator::new(output);
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        };
    // When the buffer is full, records are dropped and counted, so that logging never blocks
    // requests.
    let (asynchronous, guard) = slog_async::Async::new(drain)
        .chan_size(8_192)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let filtered = LevelFilter::new(asynchronous.fuse(), level).fuse();
    (Logger::root(filtered, o!("program" => program)), guard)
}
