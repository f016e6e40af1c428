//! Structured logs on standard error.

use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::Settings;

/// Builds the logger of a program from its keys `log_format` and `log_level`; the returned guard
/// flushes records when it is dropped.
pub fn build_logger(
    program: &'static str,
    settings: &Settings,
) -> (Logger, slog_async::AsyncGuard) {
    let level = match settings.text("log_level") {
        "error" => Level::Error,
        "warning" => Level::Warning,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> =
        if settings.text("log_format") == "json" {
            Box::new(slog_json::Json::default(std::io::stderr()).fuse())
        } else {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
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
