//! Starts that block their thread.

use std::io;

use tokio::sync::oneshot;

/// Runs a start that blocks in a thread of its own, so that the runtime's other tasks go on.
///
/// # Errors
///
/// Fails when the thread cannot be started, with the error of the start, or when it panics.
pub async fn start_in_thread<T: Send + 'static>(
    start: impl FnOnce() -> io::Result<T> + Send + 'static,
) -> io::Result<T> {
    let (sender, receiver) = oneshot::channel();
    std::thread::Builder::new()
        .name("start".to_owned())
        // The receiver is gone only if nobody waits for the start any more.
        .spawn(move || drop(sender.send(start())))?;
    let started = receiver.await;
    started.map_err(|_| io::Error::other("the start panicked"))?
}
