//! Tests for startup functions that block their thread.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io;
use std::sync::mpsc;

use tokio::sync::oneshot;
use wasabipoint_http::run_startup_in_thread;

/// Guards against a blocking startup function that stalls the other tasks of a single-threaded
/// runtime. A control member whose tasks stall takes no part in elections.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_while_a_startup_function_blocks() {
    let (unblock_startup, unblocked) = mpsc::channel();
    let (done_sender, other_done) = oneshot::channel();
    let started = tokio::spawn(run_startup_in_thread(move || {
        unblocked.recv().map_err(io::Error::other)
    }));
    tokio::spawn(async move { done_sender.send(()).unwrap() });
    other_done.await.unwrap();
    assert!(!started.is_finished());
    unblock_startup.send(1).unwrap();
    assert_eq!(started.await.unwrap().unwrap(), 1);
}

/// Guards against an error or a panic of a startup function that is not returned to its caller.
#[tokio::test(flavor = "current_thread")]
async fn startup_errors_and_panics_are_returned() {
    let failed = run_startup_in_thread(|| Err::<(), _>(io::Error::from(io::ErrorKind::AddrInUse)));
    assert_eq!(failed.await.unwrap_err().kind(), io::ErrorKind::AddrInUse);
    let panicked =
        run_startup_in_thread(|| -> io::Result<()> { panic!("intentional panic of the test") });
    assert_eq!(panicked.await.unwrap_err().kind(), io::ErrorKind::Other);
}
