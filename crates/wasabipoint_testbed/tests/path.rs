//! Tests of the complete path with real processes.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use http::{Method, StatusCode};
use serde_json::json;
use wasabipoint_testbed::{Fleet, FleetPlan};

/// Guards against bad input that is answered without a clear error, or that is counted or run.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_error() {
    let fleet = Fleet::start(FleetPlan::delta().with_entries(1).with_endpoints(1, 1))
        .await
        .unwrap();
    let key = fleet.add_key("door-vendors").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    let caller = fleet.caller(0).with_key(&key.key);
    let chat = "/v1/chat/completions";
    let json = [("content-type", "application/json")];
    let forbidden = forbidden_model(&fleet, &key.key).await;
    let message = json!([{"role": "user", "content": "x"}]);
    let cases = [
        ("{\"model\": ".to_owned(), 400, "malformed_request"),
        (
            json!({"messages": message}).to_string(),
            400,
            "malformed_request",
        ),
        (
            json!({"model": "no-such", "messages": message}).to_string(),
            404,
            "model_unknown",
        ),
        (
            json!({"model": forbidden, "messages": message}).to_string(),
            403,
            "model_not_allowed",
        ),
        ("x".repeat(5 * 1_024 * 1_024), 413, "body_too_large"),
    ];
    for (body, status, kind) in cases {
        let answer = caller.send(Method::POST, chat, &json, body).await.unwrap();
        assert_eq!(answer.status.as_u16(), status, "{kind}");
        assert_eq!(answer.error_kind().as_deref(), Some(kind));
        assert!(answer.is_not_run(), "{kind}");
    }
    let body = json!({"model": forbidden, "messages": message}).to_string();
    let bearer = format!("Bearer {}", key.key);
    let duplicate = [("authorization", bearer.as_str())];
    let keys = [
        (fleet.caller(0), &[][..], 401, "missing_key"),
        (
            fleet.caller(0).with_key("wrong"),
            &[][..],
            401,
            "invalid_key",
        ),
        (caller, &duplicate[..], 400, "duplicate_key"),
    ];
    for (caller, headers, status, kind) in keys {
        let answer = caller
            .send(Method::POST, chat, headers, body.clone())
            .await
            .unwrap();
        assert_eq!(answer.status.as_u16(), status, "{kind}");
        assert_eq!(answer.error_kind().as_deref(), Some(kind));
    }
    fleet.stop().await.unwrap();
}

async fn forbidden_model(fleet: &Fleet, key: &str) -> String {
    let own = fleet
        .caller(0)
        .with_key(key)
        .get("/v1/models")
        .await
        .unwrap()
        .json();
    let own: Vec<String> = own["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|model| model["id"].as_str().unwrap().to_owned())
        .collect();
    let all = ["stems", "prices", "rounds", "season", "bouquets", "halls"];
    all.iter()
        .flat_map(|family| ["small", "medium", "large"].map(|size| format!("{family}-{size}")))
        .find(|model| !own.contains(model))
        .unwrap()
}

/// Guards against a path that answers only some kinds of requests, and against a key that reaches
/// an endpoint or a log.
#[tokio::test(flavor = "multi_thread")]
async fn completions_services_and_models_are_served() {
    let fleet = Fleet::start(FleetPlan::delta()).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    for entry in 0..2 {
        fleet.wait_for_key(entry, &key.key).await.unwrap();
        let caller = fleet.caller(entry).with_key(&key.key);
        for (model, is_streamed) in [("stems-small", true), ("stems-small", false)] {
            let answer = caller
                .chat(model, "which stems are fresh", 8, is_streamed)
                .await
                .unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
            if is_streamed {
                assert!(answer.events().unwrap().len() >= 8);
            } else {
                assert!(answer.json()["choices"][0]["message"]["content"].is_string());
            }
        }
        let open = fleet
            .caller(entry)
            .get("/services/opening-hours/today")
            .await
            .unwrap();
        assert_eq!(open.status, StatusCode::OK, "{:?}", open.body);
        let closed = fleet
            .caller(entry)
            .get("/services/booking/1")
            .await
            .unwrap();
        assert_eq!(closed.error_kind().as_deref(), Some("missing_key"));
        let booking = caller
            .post("/services/booking/pickups", &json!({"n": 1}))
            .await
            .unwrap();
        assert_eq!(booking.status, StatusCode::OK, "{:?}", booking.body);
    }
    let explained = fleet
        .operate(&["explain", "model", "stems-small"])
        .await
        .unwrap();
    assert!(explained.is_object());
    assert_key_is_absent(&fleet, &key.key);
    fleet.stop().await.unwrap();
}

fn assert_key_is_absent(fleet: &Fleet, key: &str) {
    for file in std::fs::read_dir(fleet.folder()).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let log = std::fs::read_to_string(&path).unwrap();
            assert!(!log.contains(key), "{}", path.display());
        }
    }
}
