//! Structured logs on standard error.

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Output form of log records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per record.
    Text,
    /// One JSON object per record.
    Json,
}

/// Builds the logger of a program; the returned guard flushes records when it is dropped.
pub fn build_logger(
    program: &'static str,
    format: LogFormat,
    level: Level,
) -> (Logger, slog_async::AsyncGuard) {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
        LogFormat::Json => Box::new(slog_json::Json::default(std::io::stderr()).fuse()),
    };
    // Records beyond the buffer are dropped and counted, so that a burst cannot block requests.
    let (asynchronous, guard) = slog_async::Async::new(drain)
        .chan_size(8_192)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    let filtered = LevelFilter::new(asynchronous.fuse(), level).fuse();
    (Logger::root(filtered, o!("program" => program)), guard)
}
