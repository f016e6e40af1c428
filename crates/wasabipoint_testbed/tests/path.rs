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
        let response = caller.send(Method::POST, chat, &json, body).await.unwrap();
        assert_eq!(response.status.as_u16(), status, "{kind}");
        assert_eq!(response.error_kind().as_deref(), Some(kind));
        assert!(response.is_not_run(), "{kind}");
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
        let response = caller
            .send(Method::POST, chat, headers, body.clone())
            .await
            .unwrap();
        assert_eq!(response.status.as_u16(), status, "{kind}");
        assert_eq!(response.error_kind().as_deref(), Some(kind));
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
            let response = caller
                .chat(model, "which stems are fresh", 8, is_streamed)
                .await
                .unwrap();
            assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
            if is_streamed {
                assert!(response.events().unwrap().len() >= 8);
            } else {
                assert!(response.json()["choices"][0]["message"]["content"].is_string());
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
    let asked = fleet.caller(1).with_key(&key.key);
    let response = asked
        .chat("stems-small", "explain this", 2, false)
        .await
        .unwrap();
    let request = response.request_id.unwrap();
    let explained = fleet
        .operate(&["explain", "request", &request])
        .await
        .unwrap();
    assert!(explained.to_string().contains("endpoint-"), "{explained}");
    // An idle connection would delay the end of the entry process below.
    drop(asked);
    let unknown = "0123456789abcdef0123456789abcdef";
    assert!(
        fleet
            .operate(&["explain", "request", unknown])
            .await
            .is_err()
    );
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

/// Guards against a repair of control that operators cannot carry out with the command line, and
/// against redundancy that is reported before the new member holds everything.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_vm_with_a_lost_disk_is_replaced() {
    let plan = FleetPlan::delta().with_entries(1).with_endpoints(0, 1);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    let leader = fleet.leader().await.unwrap();
    let lost = (leader + 1) % 3;
    fleet.controls[lost].take().unwrap().kill().await.unwrap();
    let lost_member = (lost + 1).to_string();
    fleet
        .operate(&["members", "remove", &lost_member])
        .await
        .unwrap();
    let status = fleet.operate(&["status"]).await.unwrap();
    assert_eq!(status["remaining_redundancy"], 0, "{status}");
    let member = fleet.start_joining_control().await.unwrap().to_string();
    let address = fleet.control_rpc_address(3).to_string();
    fleet
        .operate(&["members", "add-learner", &member, &address])
        .await
        .unwrap();
    let status = fleet.operate(&["status"]).await.unwrap();
    assert_eq!(status["remaining_redundancy"], 0, "{status}");
    Fleet::wait_for("the promotion", || async {
        fleet
            .operate(&["members", "promote", &member])
            .await
            .is_ok()
    })
    .await
    .unwrap();
    Fleet::wait_for("the redundancy", || async {
        let status = fleet.operate(&["status"]).await.unwrap();
        status["remaining_redundancy"] == 1
    })
    .await
    .unwrap();
    // A second loss right after the repair: the new member and one old one go on.
    fleet.controls[leader].take().unwrap().kill().await.unwrap();
    let names = fleet.operate(&["keys", "list"]).await.unwrap().to_string();
    assert!(names.contains(&key.id), "{names}");
    fleet.operate(&["keys", "withdraw", &key.id]).await.unwrap();
}
