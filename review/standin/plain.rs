//! A runner of a plain service: it processes `slots` requests at once, queues a few more and rejects
//! the others with 503 and `X-Not-Executed`. It drops a request whose connection closes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Reader, encode};
use crate::record::Record;

/// How often an answer may be followed by a copy of itself: 3 in 100 (garble, x = 0.03).
const EXTRA_SHARE: f64 = 0.03;

pub struct Plain {
    pub id: String,
    slots: usize,
    queue: usize,
    /// Requests that run or wait.
    held: AtomicUsize,
    running: Mutex<usize>,
    answers: AtomicUsize,
    extras: AtomicUsize,
    /// Whether some of its rejections are followed, late, by a second copy.
    is_garbling: AtomicBool,
    is_gone: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Time of each start of a run, by request id.
    pub runs: Mutex<BTreeMap<String, Vec<u64>>>,
    /// Time of each arrival that was not answered 421, with the request id.
    pub arrivals: Mutex<Vec<(u64, String)>>,
    record: Arc<Record>,
}

impl Plain {
    pub fn start(
        id: &str,
        slots: usize,
        queue: usize,
        listener: TcpListener,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let runner = Arc::new(Self {
            id: id.to_owned(),
            slots,
            queue,
            held: AtomicUsize::new(0),
            running: Mutex::new(0),
            answers: AtomicUsize::new(0),
            extras: AtomicUsize::new(0),
            is_garbling: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&runner);
        listener.set_nonblocking(true).expect("a listener can be polled");
        std::thread::spawn(move || {
            while !accepting.is_gone.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(copy);
                }
                let runner = Arc::clone(&accepting);
                std::thread::spawn(move || runner.serve(&stream));
            }
        });
        runner
    }

    /// Begins or ends a span in which some rejections are followed, late, by a second copy. The
    /// share of the answers that have one is taken over the span.
    pub fn garble(&self, is_garbling: bool) {
        self.answers.store(0, Ordering::SeqCst);
        self.extras.store(0, Ordering::SeqCst);
        self.is_garbling.store(is_garbling, Ordering::SeqCst);
    }

    /// Ends the runner: it closes its connections and accepts no more.
    pub fn leave(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Requests that run or wait.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        // A second copy of an answer that is still to be written.
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = reader.read() {
            if let Some(copy) = late_copy.take() {
                self.record.line(&format!("runner {} writes a late second answer", self.id));
                if (&mut &*stream).write_all(&copy).is_err() {
                    return;
                }
            }
            let Some((answer, is_rejection)) = self.handle(&request, stream) else { return };
            if (&mut &*stream).write_all(&answer).is_err() {
                return;
            }
            let answers = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            let extras = self.extras.load(Ordering::SeqCst);
            let may_copy = (extras + 1) as f64 <= answers as f64 * EXTRA_SHARE;
            if is_rejection && may_copy && self.is_garbling.load(Ordering::SeqCst) {
                self.extras.fetch_add(1, Ordering::SeqCst);
                late_copy = Some(answer);
            }
        }
    }

    /// Returns the answer and whether it is a rejection, or `None` if the caller left.
    fn handle(&self, request: &Message, stream: &TcpStream) -> Option<(Vec<u8>, bool)> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return Some((encode("HTTP/1.1 421 Misdirected Request", &headers, b""), false));
        }
        let now = self.record.now_ms();
        self.arrivals.lock().unwrap().push((now, id.clone()));
        if self.held.fetch_add(1, Ordering::SeqCst) >= self.slots + self.queue {
            self.held.fetch_sub(1, Ordering::SeqCst);
            self.record.line(&format!("runner {} rejects {id}: 503, not executed", self.id));
            let load = self.load();
            let headers =
                [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1"), ("X-Server-Load", &load)];
            return Some((encode("HTTP/1.1 503 Service Unavailable", &headers, b"full"), true));
        }
        let is_run = self.run(&id, request, stream);
        self.held.fetch_sub(1, Ordering::SeqCst);
        if !is_run {
            self.record.line(&format!("runner {} drops {id}, its caller left", self.id));
            return None;
        }
        let (load, signature) = (self.load(), format!("s.{id}.{}", self.id));
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Signature", signature.as_str()),
            ("X-Server-Load", &load),
        ];
        Some((encode("HTTP/1.1 200 OK", &headers, b"done"), false))
    }

    /// Waits for a slot and works. Returns false if the caller left meanwhile.
    fn run(&self, id: &str, request: &Message, stream: &TcpStream) -> bool {
        loop {
            let mut running = self.running.lock().unwrap();
            if *running < self.slots {
                *running += 1;
                break;
            }
            drop(running);
            if has_left(stream) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        let now = self.record.now_ms();
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(now);
        self.record.line(&format!("runner {} runs {id}", self.id));
        // The request says how long the work takes, so that the loads of both runs are alike.
        let work_ms = request.target().rsplit('/').next().and_then(|ms| ms.parse().ok());
        let end = Instant::now() + Duration::from_millis(work_ms.unwrap_or(30));
        let mut is_done = true;
        while Instant::now() < end {
            if has_left(stream) {
                is_done = false;
                break;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        *self.running.lock().unwrap() -= 1;
        is_done
    }

    fn load(&self) -> String {
        let held = self.held();
        format!("{},{},{}", held.min(self.slots), held.saturating_sub(self.slots), self.slots)
    }
}

/// Returns whether the peer closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
