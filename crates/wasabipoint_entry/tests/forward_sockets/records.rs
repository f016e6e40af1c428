//! Log records have to explain why a request failed, and must never delay a request.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;
use slog::{Logger, info};
use wasabipoint_kernel::{SettingForm, SettingSpec, Settings, build_logger_to};

use wasabipoint_rpc::QuotaVerdict;

use super::control::StaticControl;
use super::fixture::{Endpoint, Fixture, ScriptStep, chunked_response, fleet_view, full_response};
use super::hedged::{after_warm_up, warm_up};
use super::scarce_quota::ScarceQuota;

const LOG_SETTINGS: &[SettingSpec] = &[
    SettingSpec::new("log_format", SettingForm::Text, "Form.").with_default("json"),
    SettingSpec::new("log_level", SettingForm::Text, "Level.").with_default("info"),
];

/// Number of records, more than the logger's queue holds.
const FLOOD_RECORDS: u32 = 20_000;

/// Maximum wait for a response or a log record; both take milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Captures what a process writes to its standard output; can block writes.
#[derive(Clone, Default)]
struct LogOutput {
    written: Arc<Mutex<Vec<u8>>>,
    is_blocked: Arc<AtomicBool>,
}

impl Write for LogOutput {
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

impl LogOutput {
    /// Runs `action` with a logger to this output. All records are written when this returns.
    async fn run_with_logger<R>(&self, action: impl AsyncFnOnce(Logger) -> R) -> R {
        let settings = Settings::parse("test.ini", "[test]\n", "test", LOG_SETTINGS).unwrap();
        let (logger, guard) = build_logger_to("test", &settings, self.clone());
        let result = action(logger).await;
        self.is_blocked.store(false, Ordering::Relaxed);
        drop(guard);
        result
    }

    /// Returns the records of a request, found by its id as an operator would.
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

/// Guards against a refusal within the rate limit whose records do not name the customer, or do not
/// state whether the request has run.
#[tokio::test]
async fn a_refusal_without_a_quota_slice_is_logged_with_the_customer() {
    let output = LogOutput::default();
    let status = output
        .run_with_logger(async |logger| {
            let first = Endpoint::start(vec![]).await;
            let fixture = Fixture::start_logged(Some(fleet_view(&[&first])), logger).await;
            let mut request = fixture.build_request("keyed", "a1");
            let key = "limited".parse().unwrap();
            request.headers_mut().insert("key", key);
            let response = fixture
                .client
                .fetch(request, 1_024, RESPONSE_TIMEOUT)
                .await
                .unwrap();
            response.status().as_u16()
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

/// Guards against a 502 whose records do not name the endpoint that may have run the request and
/// whether it was retried.
#[tokio::test]
async fn a_lost_response_is_logged_with_its_endpoint_and_retry_decision() {
    let output = LogOutput::default();
    let status = output
        .run_with_logger(async |logger| {
            let first = Endpoint::start(vec![ScriptStep::Close]).await;
            let fixture = Fixture::start_logged(Some(fleet_view(&[&first])), logger).await;
            fixture
                .send_request("once", "a1")
                .await
                .unwrap()
                .status()
                .as_u16()
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

/// Guards against a late stream without a record, and against a record that does not show whether
/// the first event or a pause was late.
#[tokio::test]
async fn a_late_stream_is_logged_with_its_longest_pause() {
    let output = LogOutput::default();
    output
        .run_with_logger(async |logger| {
            let first_part = chunked_response("a1", &["id: 1\ndata: a\n\n"], false);
            let rest = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n".to_owned();
            let pause = Duration::from_millis(250);
            let first =
                Endpoint::start(vec![ScriptStep::SendWithPause(first_part, pause, rest)]).await;
            let fixture = Fixture::start_logged(Some(fleet_view(&[&first])), logger).await;
            let response = fixture.send_request("stream", "a1").await.unwrap();
            assert_eq!(response.status(), 200);
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

/// Guards against a choice by speed and work whose inputs cannot be read from the log, and against a late
/// stream without a cause.
#[tokio::test]
async fn the_inputs_of_a_choice_and_the_cause_of_a_late_stream_are_logged() {
    let output = LogOutput::default();
    output
        .run_with_logger(async |logger| {
            let first_part = chunked_response("a1", &["id: 1\ndata: a\n\n"], false);
            let first_part = first_part.replacen("id: a1", "id: a1\r\nwork-time: 250", 1);
            let rest = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n".to_owned();
            let pause = Duration::from_millis(250);
            let steps = vec![
                ScriptStep::SendWithPause(first_part, pause, rest),
                ScriptStep::Close,
            ];
            let endpoint = Endpoint::start(steps).await;
            let fixture = Fixture::start_logged(Some(fleet_view(&[&endpoint])), logger).await;
            let response = fixture.send_request("stream", "a1").await.unwrap();
            assert_eq!(response.status(), 200);
            let lost = fixture.send_request("once", "a2").await.unwrap();
            assert_eq!(lost.status(), 502);
        })
        .await;
    assert_eq!(
        output.record("a1", "routing: stream ended")["cause"],
        "pause"
    );
    let attempt = output.record("a2", "routing: attempt");
    assert_eq!(attempt["stated_percent"], 250);
    assert!(
        attempt["stated_age_ms"].as_u64().unwrap() >= 250,
        "{attempt}"
    );
    assert_eq!(attempt["speed"], 1.0);
    assert_eq!(attempt["prompt_tokens"], 0);
}

/// Guards against an output without a reader that delays requests, and against dropped records that
/// are not reported.
#[tokio::test]
async fn a_blocked_output_delays_no_request() {
    let output = LogOutput::default();
    output.is_blocked.store(true, Ordering::Relaxed);
    output
        .run_with_logger(async |logger| {
            let fixture = Fixture::start_logged(Some(fleet_view(&[])), logger.clone()).await;
            for number in 0..FLOOD_RECORDS {
                info!(logger, "test: flood"; "number" => number);
            }
            for number in 0..20 {
                let request = fixture
                    .build_request("unknown", &format!("a{number}"))
                    .map(|_| Bytes::new());
                let response = fixture
                    .client
                    .fetch(request, 1_024, RESPONSE_TIMEOUT)
                    .await
                    .unwrap();
                assert_eq!(response.status(), 404);
            }
            output.is_blocked.store(false, Ordering::Relaxed);
            // The logger reports the number of dropped records with the next record that it can
            // queue.
            let reported = async {
                while !output.contains("dropped messages") {
                    info!(logger, "test: output unblocked");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            };
            tokio::time::timeout(RESPONSE_TIMEOUT, reported)
                .await
                .unwrap();
        })
        .await;
}

/// Guards against records of requests at a crashed endpoint that cannot be told apart: which of them
/// had received events, and which prompt parts they share.
#[tokio::test]
async fn a_broken_response_is_logged_with_its_prompt_parts_and_events() {
    let event = "id: 1\ndata: x\n\n";
    let first = Endpoint::start(vec![ScriptStep::SendAndClose(chunked_response(
        "a1",
        &[event],
        false,
    ))])
    .await;
    let output = LogOutput::default();
    output
        .run_with_logger(async |logger| {
            let fixture = Fixture::start_logged(Some(fleet_view(&[&first])), logger).await;
            let mut request = fixture.build_request("stream", "a1");
            let parts = "5c1e:800,91bd:410".parse().unwrap();
            request.headers_mut().insert("parts", parts);
            let fetched = fixture.client.fetch(request, 1_024, RESPONSE_TIMEOUT).await;
            assert!(fetched.is_err());
        })
        .await;
    let record = output.record("a1", "routing: stream aborted");
    assert_eq!(
        (&record["parts"], &record["events"]),
        (&Value::from("5c1e,91bd"), &Value::from(1))
    );
}

/// Guards against a hedged request whose records do not tell where it was sent, after which delay, and
/// which attempt was delivered.
#[tokio::test]
async fn a_hedged_request_is_logged_once_with_its_outcome() {
    let output = LogOutput::default();
    output
        .run_with_logger(async |logger| {
            let (closed, _closed_receiver) = tokio::sync::oneshot::channel();
            let first = Endpoint::start(after_warm_up([ScriptStep::StaySilent(closed)])).await;
            let second = ScriptStep::Send(full_response("a1", "good"));
            let second = Endpoint::start(vec![second]).await;
            let control = StaticControl {
                fleet_view: Some(fleet_view(&[&first, &second])),
                ..StaticControl::default()
            };
            let fixture = Fixture::start_hedged(control, 20, logger).await;
            warm_up(&fixture, "safe").await;
            let response = fixture.send_request("safe", "a1").await;
            assert_eq!(response.unwrap().status(), 200);
        })
        .await;
    let record = output.record("a1", "routing: hedged");
    assert_eq!(record["outcome"], "won");
    assert_eq!(record["first_endpoint"], "endpoint-0");
    assert_eq!(record["endpoint"], "endpoint-1");
    assert_eq!(record["samples"], 50);
    assert!(record["delay_ms"].as_u64().unwrap() >= 2, "{record}");
    let records = output.records_of("a1");
    let hedged = records
        .iter()
        .filter(|record| record["msg"] == "routing: hedged");
    assert_eq!(hedged.count(), 1);
}

/// Guards against a record for each refusal of a customer far above its rate, and against records
/// without the number of those in between.
#[tokio::test]
async fn refusals_of_a_crowded_customer_are_sampled() {
    let output = LogOutput::default();
    let endpoint = Endpoint::start(Vec::new()).await;
    let scarce = ScarceQuota::new(|_| QuotaVerdict::Refused {
        retry_after_ms: 300,
    });
    output
        .run_with_logger(async |logger| {
            let fixture = Fixture::start_scarce(fleet_view(&[&endpoint]), &scarce, logger).await;
            for number in 0..17 {
                let mut request = fixture.build_request("keyed", &format!("r{number}"));
                request
                    .headers_mut()
                    .insert("key", "limited".parse().unwrap());
                let fetched = fixture.client.fetch(request, 1_024, RESPONSE_TIMEOUT).await;
                assert_eq!(fetched.unwrap().status(), 429);
            }
        })
        .await;
    for number in 1..16 {
        assert!(output.records_of(&format!("r{number}")).is_empty());
    }
    for (id, refused_since) in [("r0", 0), ("r16", 16)] {
        let record = output.records_of(id).remove(0);
        assert_eq!(record["msg"], "admission: refused");
        assert_eq!(record["refused_since"], refused_since);
        assert_eq!(record["retry_after_ms"], 300);
        assert_eq!(record["run"], "not run");
    }
}
