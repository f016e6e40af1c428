//! Starts that block their thread.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::io;
use std::sync::mpsc;

use tokio::sync::oneshot;
use wasabipoint_http::start_in_thread;

/// Guards against a start that blocks and holds up the other tasks of a runtime with one thread,
/// the member's part in elections among them.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_go_on_while_a_start_blocks() {
    let (release, is_released) = mpsc::channel();
    let (other, is_done) = oneshot::channel();
    let started = tokio::spawn(start_in_thread(move || {
        is_released.recv().map_err(io::Error::other)
    }));
    tokio::spawn(async move { other.send(()).unwrap() });
    is_done.await.unwrap();
    assert!(!started.is_finished());
    release.send(1).unwrap();
    assert_eq!(started.await.unwrap().unwrap(), 1);
}

/// Guards against an error or a panic of a start that nobody is told of.
#[tokio::test(flavor = "current_thread")]
async fn a_failed_start_is_told() {
    let failed = start_in_thread(|| Err::<(), _>(io::Error::from(io::ErrorKind::AddrInUse)));
    assert_eq!(failed.await.unwrap_err().kind(), io::ErrorKind::AddrInUse);
    let panicked =
        start_in_thread(|| -> io::Result<()> { panic!("a panic that the test asks for") });
    assert_eq!(panicked.await.unwrap_err().kind(), io::ErrorKind::Other);
}
