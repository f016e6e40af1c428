//! End-to-end tests with real processes.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use http::{Method, StatusCode};
use serde_json::json;
use wasabipoint_testbed::{Fleet, FleetConfig};

/// Guards against invalid requests that run or that get an unspecific error.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_specific_errors() {
    let fleet = Fleet::start(FleetConfig::delta().with_entries(1).with_endpoints(1, 1))
        .await
        .unwrap();
    let key = fleet.add_key("door-vendors").await.unwrap();
    fleet.wait_for_key(0, &key.key).await.unwrap();
    let client = fleet.client(0).with_key(&key.key);
    let chat_path = "/v1/chat/completions";
    let json_headers = [("content-type", "application/json")];
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
        let response = client
            .send(Method::POST, chat_path, &json_headers, body)
            .await
            .unwrap();
        assert_eq!(response.status.as_u16(), status, "{kind}");
        assert_eq!(response.error_kind().as_deref(), Some(kind));
        assert!(response.is_not_run(), "{kind}");
    }
    let body = json!({"model": forbidden, "messages": message}).to_string();
    let bearer = format!("Bearer {}", key.key);
    let duplicate = [("authorization", bearer.as_str())];
    let key_cases = [
        (fleet.client(0), &[][..], 401, "missing_key"),
        (
            fleet.client(0).with_key("wrong"),
            &[][..],
            401,
            "invalid_key",
        ),
        (client, &duplicate[..], 400, "duplicate_key"),
    ];
    for (client, headers, status, kind) in key_cases {
        let response = client
            .send(Method::POST, chat_path, headers, body.clone())
            .await
            .unwrap();
        assert_eq!(response.status.as_u16(), status, "{kind}");
        assert_eq!(response.error_kind().as_deref(), Some(kind));
    }
    fleet.stop().await.unwrap();
}

/// Returns a model of the example that the customer of the key may not use.
async fn forbidden_model(fleet: &Fleet, key: &str) -> String {
    let allowed = fleet
        .client(0)
        .with_key(key)
        .get("/v1/models")
        .await
        .unwrap()
        .json();
    let allowed: Vec<String> = allowed["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|model| model["id"].as_str().unwrap().to_owned())
        .collect();
    let families = ["stems", "prices", "rounds", "season", "bouquets", "halls"];
    families
        .iter()
        .flat_map(|family| ["small", "medium", "large"].map(|size| format!("{family}-{size}")))
        .find(|model| !allowed.contains(model))
        .unwrap()
}

/// Guards against a kind of request that is not served end to end, and against a key that appears
/// in a log, including those of the endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn completions_services_and_models_are_served() {
    let fleet = Fleet::start(FleetConfig::delta()).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    for entry in 0..2 {
        fleet.wait_for_key(entry, &key.key).await.unwrap();
        let client = fleet.client(entry).with_key(&key.key);
        for (model, is_streamed) in [("stems-small", true), ("stems-small", false)] {
            let response = client
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
            .client(entry)
            .get("/services/opening-hours/today")
            .await
            .unwrap();
        assert_eq!(open.status, StatusCode::OK, "{:?}", open.body);
        let closed = fleet
            .client(entry)
            .get("/services/booking/1")
            .await
            .unwrap();
        assert_eq!(closed.error_kind().as_deref(), Some("missing_key"));
        let booking = client
            .post("/services/booking/pickups", &json!({"n": 1}))
            .await
            .unwrap();
        assert_eq!(booking.status, StatusCode::OK, "{:?}", booking.body);
    }
    let explained_client = fleet.client(1).with_key(&key.key);
    let response = explained_client
        .chat("stems-small", "explain this", 2, false)
        .await
        .unwrap();
    let request = response.request_id.unwrap();
    let explained = fleet
        .run_cli(&["explain", "request", &request])
        .await
        .unwrap();
    assert!(explained.to_string().contains("endpoint-"), "{explained}");
    // An idle connection would delay the exit of the entry process below.
    drop(explained_client);
    let unknown = "0123456789abcdef0123456789abcdef";
    assert!(
        fleet
            .run_cli(&["explain", "request", unknown])
            .await
            .is_err()
    );
    let explained = fleet
        .run_cli(&["explain", "model", "stems-small"])
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

/// Guards against a lost control member that cannot be replaced with the command line alone, and
/// against redundancy that is reported before the new member has caught up.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_member_with_a_lost_disk_is_replaced() {
    let config = FleetConfig::delta().with_entries(1).with_endpoints(0, 1);
    let mut fleet = Fleet::start(config).await.unwrap();
    let key = fleet.add_key("bucket-traders").await.unwrap();
    let leader_index = fleet.leader_index().await.unwrap();
    let lost = (leader_index + 1) % 3;
    fleet.control_members[lost]
        .take()
        .unwrap()
        .kill()
        .await
        .unwrap();
    let lost_member = (lost + 1).to_string();
    fleet
        .run_cli(&["members", "remove", &lost_member])
        .await
        .unwrap();
    let status = fleet.run_cli(&["status"]).await.unwrap();
    assert_eq!(status["remaining_redundancy"], 0, "{status}");
    let member = fleet
        .start_joining_control_member()
        .await
        .unwrap()
        .to_string();
    let address = fleet.control_rpc_address(3).to_string();
    fleet
        .run_cli(&["members", "add-learner", &member, &address])
        .await
        .unwrap();
    let status = fleet.run_cli(&["status"]).await.unwrap();
    assert_eq!(status["remaining_redundancy"], 0, "{status}");
    Fleet::wait_for("the promotion of the new member", || async {
        fleet
            .run_cli(&["members", "promote", &member])
            .await
            .is_ok()
    })
    .await
    .unwrap();
    Fleet::wait_for("restored redundancy", || async {
        let status = fleet.run_cli(&["status"]).await.unwrap();
        status["remaining_redundancy"] == 1
    })
    .await
    .unwrap();
    // After a second loss, the new member and the remaining old one form a majority.
    fleet.control_members[leader_index]
        .take()
        .unwrap()
        .kill()
        .await
        .unwrap();
    let key_list = fleet.run_cli(&["keys", "list"]).await.unwrap().to_string();
    assert!(key_list.contains(&key.id), "{key_list}");
    fleet.run_cli(&["keys", "withdraw", &key.id]).await.unwrap();
}
