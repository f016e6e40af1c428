//! Startup functions that block their thread.

use std::io;

use tokio::sync::oneshot;

/// Runs a blocking startup function on its own thread, so that other tasks of the runtime continue.
///
/// # Errors
///
/// Fails when the thread cannot be started, or when the startup function fails or panics.
pub async fn run_startup_in_thread<T: Send + 'static>(
    startup: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    let (sender, receiver) = oneshot::channel();
    std::thread::Builder::new()
        .name("start".to_owned())
        // Sending fails only if the future was dropped, so nothing waits for the result.
        .spawn(move || drop(sender.send(startup())))?;
    let started = receiver.await;
    started.map_err(|_| io::Error::other("the startup function panicked"))?
}
