//! One streamed completion.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use tokio::time::Instant;
use wasabipoint_http::{ClientError, HttpClient};

use super::HttpPlan;

const CALL_TIMEOUT: Duration = Duration::from_secs(90);
/// Longest event that is kept while its end has not arrived.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// How a completion ended.
pub(super) enum CallEnd {
    /// All tokens arrived; their times since the request was sent.
    Complete { token_ms: Vec<u64> },
    /// The response has a status other than success.
    Refused,
    /// No complete response.
    Failed,
}

pub(super) fn build_request(
    address: SocketAddr,
    plan: &HttpPlan,
    key: &str,
    number: u64,
) -> Request<Bytes> {
    let body = serde_json::json!({
        "model": plan.model,
        "stream": true,
        "max_tokens": plan.max_tokens,
        "messages": [{"role": "user", "content": format!("request {number}")}],
    });
    Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body.to_string()))
        .unwrap_or_default()
}

/// Sends a request and records when each event of the response arrives.
pub(super) async fn call(client: &HttpClient, request: Request<Bytes>) -> CallEnd {
    let result = tokio::time::timeout(CALL_TIMEOUT, read_stream(client, request)).await;
    match result {
        Ok(Ok(end)) => end,
        Ok(Err(_)) | Err(_) => CallEnd::Failed,
    }
}

async fn read_stream(client: &HttpClient, request: Request<Bytes>) -> Result<CallEnd, ClientError> {
    let start = Instant::now();
    let response = client.send(request).await?;
    if !response.status().is_success() {
        return Ok(CallEnd::Refused);
    }
    let mut body = response.into_body();
    let mut events = EventReader::default();
    let mut token_ms = Vec::new();
    while let Some(chunk) = body.next_chunk().await? {
        let tokens = events.push(&chunk);
        let elapsed_ms = start.elapsed().as_millis() as u64;
        token_ms.extend(std::iter::repeat_n(elapsed_ms, tokens));
    }
    Ok(if events.is_done {
        CallEnd::Complete { token_ms }
    } else {
        CallEnd::Failed
    })
}

/// Splits a stream of server-sent events, whose chunks may end anywhere.
#[derive(Default)]
struct EventReader {
    rest: Vec<u8>,
    is_done: bool,
}

impl EventReader {
    /// Returns the number of data events that ended in the chunk, without the last marker.
    fn push(&mut self, chunk: &[u8]) -> usize {
        self.rest.extend_from_slice(chunk);
        let mut tokens = 0;
        while let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.rest.drain(..=end).collect();
            if let Some(data) = line.trim_ascii().strip_prefix(b"data:") {
                if data.trim_ascii() == b"[DONE]" {
                    self.is_done = true;
                } else {
                    tokens += 1;
                }
            }
        }
        if self.rest.len() > MAX_EVENT_BYTES {
            self.rest.clear();
        }
        tokens
    }
}
