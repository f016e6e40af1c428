//! Sends one streamed completion request and times its tokens.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use tokio::time::Instant;
use wasabipoint_http::{ClientError, HttpClient};

use super::HttpLoadConfig;

const CALL_TIMEOUT: Duration = Duration::from_secs(90);
/// Longest incomplete line that is buffered; a longer one is discarded.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Outcome of a completion request.
pub(super) enum CallOutcome {
    /// The stream ended with `[DONE]`. Holds the time of each token since the request was sent.
    Complete { token_ms: Vec<u64> },
    /// The response status was not a success.
    Refused,
    /// The connection failed, the request timed out, or the stream was truncated.
    Failed,
}

pub(super) fn build_request(
    address: SocketAddr,
    config: &HttpLoadConfig,
    key: &str,
    request_index: u64,
) -> Request<Bytes> {
    let body = serde_json::json!({
        "model": config.model,
        "stream": true,
        "max_tokens": config.max_tokens,
        "messages": [{"role": "user", "content": format!("request {request_index}")}],
    });
    Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body.to_string()))
        .unwrap_or_default()
}

/// Sends a request and records the arrival time of each event of the response.
pub(super) async fn call(client: &HttpClient, request: Request<Bytes>) -> CallOutcome {
    let result = tokio::time::timeout(CALL_TIMEOUT, read_stream(client, request)).await;
    match result {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => CallOutcome::Failed,
    }
}

async fn read_stream(
    client: &HttpClient,
    request: Request<Bytes>,
) -> Result<CallOutcome, ClientError> {
    let start = Instant::now();
    let response = client.send(request).await?;
    if !response.status().is_success() {
        return Ok(CallOutcome::Refused);
    }
    let mut body = response.into_body();
    let mut events = EventReader::default();
    let mut token_ms = Vec::new();
    while let Some(chunk) = body.next_chunk().await? {
        let tokens = events.push(&chunk);
        let elapsed_ms = start.elapsed().as_millis() as u64;
        token_ms.extend(std::iter::repeat_n(elapsed_ms, tokens));
    }
    Ok(if events.has_done_marker {
        CallOutcome::Complete { token_ms }
    } else {
        CallOutcome::Failed
    })
}

/// Splits a stream of server-sent events into lines. Chunk boundaries may fall anywhere.
#[derive(Default)]
struct EventReader {
    unparsed: Vec<u8>,
    has_done_marker: bool,
}

impl EventReader {
    /// Returns the number of data lines that the chunk completes, not counting `[DONE]`.
    fn push(&mut self, chunk: &[u8]) -> usize {
        self.unparsed.extend_from_slice(chunk);
        let mut tokens = 0;
        while let Some(line_end) = self.unparsed.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.unparsed.drain(..=line_end).collect();
            if let Some(data) = line.trim_ascii().strip_prefix(b"data:") {
                if data.trim_ascii() == b"[DONE]" {
                    self.has_done_marker = true;
                } else {
                    tokens += 1;
                }
            }
        }
        if self.unparsed.len() > MAX_LINE_BYTES {
            self.unparsed.clear();
        }
        tokens
    }
}
