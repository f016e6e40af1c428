//! Caller keys: verified on arrival and at dispatch, and never forwarded.

use std::time::Duration;

use http::Request;
use serde_json::json;
use wasabipoint_kernel::KeyId;

use crate::fake_agents::Plan;
use crate::harness::{Harness, KEY, OTHER_KEY, booking, completion, engine};

fn contains_bytes(bytes: &[u8], key: &str) -> bool {
    bytes
        .windows(key.len())
        .any(|window| window == key.as_bytes())
}

/// Guards against a key that leaks to an endpoint, a log line, a metric or a response.
#[tokio::test(start_paused = true)]
async fn key_is_never_forwarded_or_exposed() {
    let harness = Harness::start().await;
    let bearer = format!("Bearer {KEY}");
    let mut responses = Vec::new();
    responses.push(harness.complete("hello", true).await);
    responses.push(harness.send(booking(Some("once"))).await);
    let in_query = format!(
        "/services/lookup/a?token={KEY}&b=%6b{}&c=1&{KEY}",
        &KEY[1..]
    );
    for (path, name, value) in [
        (in_query.as_str(), "x-copy", KEY),
        ("/services/lookup/a", "cookie", KEY),
        ("/services/lookup/a", "x-note", &format!("a {KEY} b")),
        (&format!("/services/lookup/{KEY}"), "x-note", "1"),
        (&format!("/services/{KEY}/a"), "x-note", "1"),
        ("/services/lookup/a", "idempotency-key", KEY),
    ] {
        let request = Request::get(path)
            .header("authorization", &bearer)
            .header(name, value);
        responses.push(harness.send(request.body(Vec::new()).unwrap()).await);
    }
    let in_body = Request::post("/services/lookup/a").header("authorization", &bearer);
    let body = format!("a={KEY}").into_bytes();
    responses.push(harness.send(in_body.body(body).unwrap()).await);
    let open = Request::get(format!("/services/public/a?key={KEY}"))
        .body(Vec::new())
        .unwrap();
    responses.push(harness.send(open).await);
    let escaped = format!("\\u006b{}", &KEY[1..]);
    for prompt in [KEY, escaped.as_str()] {
        let body = format!(r#"{{"model":"small","prompt":"{prompt}"}}"#);
        let request = Request::post("/v1/completions").header("authorization", &bearer);
        responses.push(harness.send(request.body(body.into_bytes()).unwrap()).await);
    }
    let body = json!({"model": KEY, "prompt": "p"})
        .to_string()
        .into_bytes();
    let unkeyed = Request::post("/v1/completions").body(body).unwrap();
    responses.push(harness.send(unkeyed).await);

    assert!(
        harness.agents.requests().len() >= 6,
        "too few requests were dispatched for the check to be conclusive"
    );
    assert!(!contains_bytes(&harness.agents.sent_bytes(), KEY));
    assert!(!contains_bytes(harness.log.text().as_bytes(), KEY));
    assert!(harness.log.text().contains("routing: chose an endpoint"));
    assert!(!contains_bytes(harness.metrics().await.as_bytes(), KEY));
    for response in responses {
        assert!(!contains_bytes(&response.body, KEY), "{}", response.text());
    }
}

/// Guards against serving a request with a missing, wrong or duplicate key.
#[tokio::test(start_paused = true)]
async fn refuses_missing_wrong_and_duplicate_keys() {
    let harness = Harness::start().await;
    let build = |values: &[(&str, &str)]| {
        let mut request = Request::get("/v1/models");
        for (name, value) in values {
            request = request.header(*name, *value);
        }
        request.body(Vec::new()).unwrap()
    };
    let good = format!("Bearer {KEY}");
    let both = format!("Bearer {KEY}, Bearer {OTHER_KEY}");
    let cases: [(&[(&str, &str)], &str); 6] = [
        (&[], "missing_key"),
        (&[("authorization", "Bearer wrong")], "invalid_key"),
        (&[("authorization", KEY)], "invalid_key"),
        (
            &[("authorization", &good), ("authorization", &good)],
            "duplicate_key",
        ),
        (&[("authorization", &both)], "invalid_key"),
        (
            &[("authorization", &good), ("x-api-key", KEY)],
            "duplicate_key",
        ),
    ];
    for (headers, kind) in cases {
        assert_eq!(
            harness.send(build(headers)).await.kind(),
            kind,
            "{headers:?}"
        );
    }
    assert_eq!(
        harness
            .send(build(&[("authorization", &good)]))
            .await
            .status,
        200
    );
}

/// Guards against running a request whose key was revoked while the request was queued.
#[tokio::test(start_paused = true)]
async fn revoked_key_stops_a_queued_request() {
    let harness = Harness::start_with(|view| {
        view.endpoints
            .retain(|id, _| id.as_str().starts_with("desk"));
    })
    .await;
    let harness_ref = &harness;
    let revoke = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        harness_ref.control.update_view(|view| {
            view.keys.remove(&KeyId::new("k1"));
        });
        tokio::time::sleep(Duration::from_millis(500)).await;
        harness_ref.control.update_view(|view| {
            let engine = engine("engine-1", 11, 4);
            view.endpoints.insert(engine.id.clone(), engine);
        });
    };
    let (response, ()) = tokio::join!(harness.complete("hello", false), revoke);
    assert_eq!(
        (response.kind().as_str(), response.run().as_str()),
        ("invalid_key", "not run")
    );
    assert_eq!(harness.agents.executions(), 0);
    let other = harness.send(completion(OTHER_KEY, "p", false)).await;
    assert_eq!(other.status, 200);
}

/// Guards against serving keyed requests from a view that control no longer confirms, and against
/// refusing open routes or ending running streams in that state.
#[tokio::test(start_paused = true)]
async fn stale_view_refuses_only_keyed_requests() {
    let harness = Harness::start().await;
    harness.agents.plan(&[Plan::Slow(Duration::from_secs(9))]);
    let running = harness.complete("hello", true);
    let later = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        harness.control.stop_watch_replies();
        tokio::time::sleep(Duration::from_millis(3_500)).await;
        assert_eq!(harness.complete("in time", false).await.status, 200);
        tokio::time::sleep(Duration::from_secs(2)).await;
        let refused = harness.complete("late", false).await;
        assert_eq!(refused.kind(), "configuration_stale");
        assert_eq!(refused.run(), "not run");
        assert!(refused.headers.contains_key("retry-after"));
        let open = Request::get("/services/public/a").body(Vec::new()).unwrap();
        assert_eq!(harness.send(open).await.status, 200);
    };
    let (response, ()) = tokio::join!(running, later);
    assert!(response.is_complete);
    assert_eq!(harness.agents.executions(), 3);
}

/// Guards against measuring freshness from the arrival of a delayed reply instead of from the time
/// its poll was sent.
#[tokio::test(start_paused = true)]
async fn delayed_reply_confirms_the_time_of_its_poll() {
    let harness = Harness::start().await;
    harness.control.delay_replies(Duration::from_millis(2_500));
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    harness.control.stop_watch_replies();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(harness.complete("p", false).await.status, 200);
    tokio::time::sleep(Duration::from_millis(1_400)).await;
    assert_eq!(
        harness.complete("p", false).await.kind(),
        "configuration_stale"
    );
}

/// Guards against a view that reverts to an earlier revision or configuration version.
#[tokio::test(start_paused = true)]
async fn view_never_reverts() {
    let harness = Harness::start().await;
    let mut revoked = None;
    harness.control.update_view(|view| {
        revoked = view.keys.remove(&KeyId::new("k1"));
        view.config_version.0 = 5;
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(harness.complete("p", false).await.kind(), "invalid_key");
    let revoked = revoked.unwrap();
    harness.control.update_view(|view| {
        view.keys.insert(revoked.id.clone(), revoked.clone());
        view.config_version.0 = 4;
    });
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(harness.complete("p", false).await.kind(), "invalid_key");
    let kept = harness.send(completion(OTHER_KEY, "p", false)).await;
    assert_eq!(kept.status, 200, "{}", kept.text());
    harness.control.update_view(|view| {
        view.config_version.0 = 5;
        view.revision = 0;
    });
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(
        harness.complete("p", false).await.kind(),
        "configuration_stale"
    );
}
