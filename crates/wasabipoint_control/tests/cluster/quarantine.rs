//! Operator access to the quarantine of prompt parts.

use http::Method;

use crate::fixture::{
    STEP_TIMEOUT, apply_test_configuration, parse_json, send_request, start_single_member,
    watch_until,
};

/// Guards against a verdict that operators can neither see, set nor lift, and against one that entry
/// processes do not learn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_list_set_and_lift_the_quarantine_of_a_part() {
    let server = start_single_member().await;
    let client = apply_test_configuration(&server).await;
    let address = server.http_address();
    let send = async |method: Method, path: &str| {
        let call = send_request(address, method, path, &[], "");
        tokio::time::timeout(STEP_TIMEOUT, call).await.unwrap()
    };
    assert_eq!(send(Method::PUT, "/v1/quarantine/dead").await.status(), 200);
    let listed = parse_json(&send(Method::GET, "/v1/quarantine").await);
    assert_eq!(listed["quarantine"][0]["part"], "dead");
    assert_eq!(listed["quarantine"][0]["cause"], "operator");
    watch_until(&client, |view| view.quarantine.len() == 1).await;
    assert_eq!(
        send(Method::DELETE, "/v1/quarantine/dead").await.status(),
        200
    );
    let listed = parse_json(&send(Method::GET, "/v1/quarantine").await);
    assert_eq!(listed["quarantine"].as_array().unwrap().len(), 0);
    watch_until(&client, |view| view.quarantine.is_empty()).await;
    for (method, path, status) in [
        (Method::PUT, "/v1/quarantine/not-hex", 400),
        (Method::POST, "/v1/quarantine/dead", 405),
        (Method::PUT, "/v1/quarantine", 405),
    ] {
        assert_eq!(send(method, path).await.status(), status, "{path}");
    }
    server.stop().await;
}
