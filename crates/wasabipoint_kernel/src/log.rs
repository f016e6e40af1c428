//! Structured logs.

use std::io::Write;

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::Settings;

/// Builds the logger of a program from its keys `log_format` and `log_level`; the returned guard
/// flushes records when it is dropped.
pub fn build_logger(
    program: &'static str,
    settings: &Settings,
) -> (Logger, slog_async::AsyncGuard) {
    build_logger_to(program, settings, std::io::stderr())
}

/// Builds the logger of a program whose records go to standard output.
///
/// The guard writes what is buffered when it is dropped.
pub fn build_stdout_logger(
    program: &'static str,
    settings: &Settings,
) -> (Logger, slog_async::AsyncGuard) {
    build_logger_to(program, settings, std::io::stdout())
}

/// Builds the logger of a program whose records go to `output`, written by a thread of its own.
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
    // Records beyond the buffer are dropped and counted, so that a burst cannot block requests.
    let (asynchronous, guard) = slog_async::Async::new(drain)
        .chan_size(8_192)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let filtered = LevelFilter::new(asynchronous.fuse(), level).fuse();
    (Logger::root(filtered, o!("program" => program)), guard)
}
