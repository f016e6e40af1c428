//! Tests of the HTTP load generator against a fake entry process.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use wasabipoint_http::{
    HttpHandler, HttpRequest, HttpResponse, HttpServer, OutgoingBody, text_response,
};
use wasabipoint_load::{CustomerLoad, CustomerStats, HttpLoadConfig, LoadError, run_http};

/// Serves the key `good`, truncates the stream of the key `cut` and refuses all others.
struct FakeEntry;

impl HttpHandler for FakeEntry {
    fn handle(
        &self,
        request: HttpRequest,
    ) -> Pin<Box<dyn Future<Output = HttpResponse> + Send + '_>> {
        Box::pin(async move {
            let key = request.headers()[header::AUTHORIZATION].clone();
            let chunks = match key.to_str().unwrap() {
                "Bearer good" => vec!["data: {}\n", "\ndata: {", "}\n\ndata: [DONE]\n\n"],
                "Bearer cut" => vec!["data: {}\n\n"],
                _ => return text_response(StatusCode::TOO_MANY_REQUESTS, ""),
            };
            let (sender, body) = OutgoingBody::stream(1);
            tokio::spawn(async move {
                for chunk in chunks {
                    let _ = sender.send(Some(Bytes::from(chunk))).await;
                }
                let _ = sender.send(None).await;
            });
            Response::new(body)
        })
    }
}

fn config(address: SocketAddr) -> HttpLoadConfig {
    let customers = ["good", "cut", "refused"].map(|key| CustomerLoad {
        name: key.to_owned(),
        key: key.to_owned(),
        requests_per_s: 400.0,
    });
    HttpLoadConfig {
        entries: vec![address],
        direct: None,
        customers: customers.to_vec(),
        model: "assistant".to_owned(),
        max_tokens: 2,
        seconds: 60,
        requests: 60,
        seed: 7,
    }
}

// Guards against a truncated stream or a refusal that is counted as completed.
#[tokio::test]
async fn completed_truncated_and_refused_requests_are_counted_separately() {
    let server = HttpServer::new(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let address = server.local_address().unwrap();
    let handle = server.serve(Arc::new(FakeEntry)).await.unwrap();
    let customer_stats = run_http(&config(address), &[address]).await.unwrap();
    let counts: Vec<_> = customer_stats.iter().map(CustomerStats::counts).collect();
    assert_eq!(counts, [(20, 0, 0), (0, 0, 20), (0, 20, 0)]);
    handle.stop().await;
}

// Guards against load that is sent to another machine.
#[tokio::test]
async fn non_loopback_addresses_are_rejected() {
    let address = SocketAddr::from(([192, 0, 2, 1], 80));
    let result = run_http(&config(address), &[address]).await;
    assert!(matches!(result, Err(LoadError::NotLoopback { .. })));
}
