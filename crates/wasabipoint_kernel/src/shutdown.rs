//! Handling of termination and reload signals.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when a signal handler cannot be installed.
pub async fn wait_for_termination() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Runs `reload` at each SIGHUP.
///
/// # Errors
///
/// Fails when the signal handler cannot be installed.
pub async fn reload_on_hangup(mut reload: impl FnMut()) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    while hangup.recv().await.is_some() {
        reload();
    }
    Ok(())
}
