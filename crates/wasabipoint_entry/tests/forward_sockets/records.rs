//! What the records of a request tell about its failure, and that they never hold up a request.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use slog::{Logger, info};
use wasabipoint_kernel::{SettingForm, SettingSpec, Settings, build_logger_to};

use super::fixture::{Endpoint, Fixture, Step, chunks, view};

const LOG_SETTINGS: &[SettingSpec] = &[
    SettingSpec::new("log_format", SettingForm::Text, "Form.").with_default("json"),
    SettingSpec::new("log_level", SettingForm::Text, "Level.").with_default("info"),
];

/// More records than the logger's queue holds.
const FLOOD: u32 = 20_000;

/// Longest wait for an answer or a record; both take milliseconds.
const LIMIT: Duration = Duration::from_secs(10);

/// What a process writes to its standard output.
#[derive(Clone, Default)]
struct Output {
    written: Arc<Mutex<Vec<u8>>>,
    is_blocked: Arc<AtomicBool>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        while self.is_blocked.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Output {
    /// Runs `act` with a logger to this output; all records are written when it returns.
    async fn log<R>(&self, act: impl AsyncFnOnce(Logger) -> R) -> R {
        let settings = Settings::parse("test.ini", "[test]\n", "test", LOG_SETTINGS).unwrap();
        let (logger, guard) = build_logger_to("test", &settings, self.clone());
        let result = act(logger).await;
        self.is_blocked.store(false, Ordering::Relaxed);
        drop(guard);
        result
    }

    /// Returns the records that name a request, as an operator finds them by its id.
    fn records_of(&self, id: &str) -> Vec<Value> {
        let written = self.written.lock().unwrap();
        let records = serde_json::Deserializer::from_slice(&written).into_iter::<Value>();
        let records = records.map(Result::unwrap);
        records.filter(|record| record["request"] == id).collect()
    }

    fn contains(&self, text: &str) -> bool {
        let written = self.written.lock().unwrap();
        String::from_utf8_lossy(&written).contains(text)
    }

    fn record(&self, id: &str, message: &str) -> Value {
        let records = self.records_of(id);
        let found = records.iter().find(|record| record["msg"] == message);
        found
            .unwrap_or_else(|| panic!("{message} in {records:?}"))
            .clone()
    }
}

/// Guards against a refusal inside the rate whose records do not tell whose rate it was, or whether
/// the request has run.
#[tokio::test]
async fn a_refusal_without_a_quota_slice_names_the_customer() {
    let output = Output::default();
    let status = output
        .log(async |logger| {
            let first = Endpoint::start(vec![]).await;
            let fixture = Fixture::start_logged(Some(view(&[&first])), logger).await;
            let mut request = fixture.request("keyed", "a1");
            let key = "limited".parse().unwrap();
            request.headers_mut().insert("key", key);
            let answered = fixture.client.fetch(request, 1_024, LIMIT).await.unwrap();
            answered.status().as_u16()
        })
        .await;
    assert!(matches!(status, 429 | 503), "{status}");
    let refused = output.record("a1", "admission: refused");
    assert_eq!(refused["run"], "not run");
    assert!(
        refused["detail"].as_str().unwrap().contains("quarry"),
        "{refused}"
    );
    assert_eq!(refused["config_version"], 3);
}

/// Guards against a 502 whose records do not tell which endpoint may have run the request and why
/// it was not repeated.
#[tokio::test]
async fn a_lost_answer_names_its_endpoint_and_the_decision() {
    let output = Output::default();
    let status = output
        .log(async |logger| {
            let first = Endpoint::start(vec![Step::Close]).await;
            let fixture = Fixture::start_logged(Some(view(&[&first])), logger).await;
            fixture.call("once", "a1").await.unwrap().status().as_u16()
        })
        .await;
    assert_eq!(status, 502);
    let attempt = output.record("a1", "routing: attempt");
    assert_eq!(attempt["endpoint"], "endpoint-0");
    assert!(attempt["outcome"].as_str().unwrap().starts_with("unknown"));
    assert_eq!(
        output.record("a1", "routing: attempt failed")["is_repeated"],
        false
    );
    assert_eq!(output.record("a1", "admission: refused")["run"], "unknown");
}

/// Guards against a late stream that leaves no record, or one that does not tell whether its first
/// event or a pause was late.
#[tokio::test]
async fn a_late_stream_tells_its_longest_pause() {
    let output = Output::default();
    output
        .log(async |logger| {
            let begun = chunks("a1", &["id: 1\ndata: a\n\n"], false);
            let rest = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n".to_owned();
            let pause = Duration::from_millis(250);
            let first = Endpoint::start(vec![Step::SendWithPause(begun, pause, rest)]).await;
            let fixture = Fixture::start_logged(Some(view(&[&first])), logger).await;
            let answered = fixture.call("stream", "a1").await.unwrap();
            assert_eq!(answered.status(), 200);
        })
        .await;
    let ended = output.record("a1", "routing: stream ended");
    assert_eq!(ended["is_late"], true);
    assert!(
        ended["longest_pause_ms"].as_u64().unwrap() >= 200,
        "{ended}"
    );
    assert_eq!(ended["endpoint"], "endpoint-0");
}

/// Guards against an output that nobody reads and that holds up requests, and against dropped
/// records that leave no trace.
#[tokio::test]
async fn a_blocked_output_delays_no_request() {
    let output = Output::default();
    output.is_blocked.store(true, Ordering::Relaxed);
    output
        .log(async |logger| {
            let fixture = Fixture::start_logged(Some(view(&[])), logger.clone()).await;
            for number in 0..FLOOD {
                info!(logger, "test: flood"; "number" => number);
            }
            for number in 0..20 {
                let request = fixture
                    .request("unknown", &format!("a{number}"))
                    .map(|_| Bytes::new());
                let answered = fixture.client.fetch(request, 1_024, LIMIT).await.unwrap();
                assert_eq!(answered.status(), 404);
            }
            output.is_blocked.store(false, Ordering::Relaxed);
            // The number of dropped records comes with the next record that finds room.
            let reported = async {
                while !output.contains("dropped messages") {
                    info!(logger, "test: the output is read again");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            };
            tokio::time::timeout(LIMIT, reported).await.unwrap();
        })
        .await;
}
